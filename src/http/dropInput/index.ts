import type { Duplex } from "node:stream";

/**
 * Reads a connection on without parsing what arrives, so that bytes which nobody needs cost neither memory nor much time.
 * What is being written is not affected.
 *
 * @param socket - Socket of a connection that an HTTP server has accepted.
 * @example
 * dropInput(request.socket);
 */
export function dropInput(socket: Duplex): void {
    socket.removeAllListeners("data");
    // With the first such listener, Node.js takes the connection back from its HTTP parser.
    socket.on("data", () => undefined);
    socket.resume();
}
