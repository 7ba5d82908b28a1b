import type { Duplex } from "node:stream";
import { closeInOrder } from "../closeInOrder/index.js";

/**
 * Refuses a CONNECT request and closes its connection.
 *
 * @param socket - Socket of the connection; no response is being written to it.
 * @example
 * server.on("connect", (_request, socket) => refuseConnect(socket));
 */
export function refuseConnect(socket: Duplex): void {
    socket.write("HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    closeInOrder(socket);
}
