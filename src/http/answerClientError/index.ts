import type { Duplex } from "node:stream";
import { closeInOrder } from "../closeInOrder/index.js";

/** Status lines by code of the error of Node.js; every other error is a message that cannot be parsed. */
const STATUS_LINES: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const DEFAULT_STATUS_LINE = "400 Bad Request";

/**
 * Answers what cannot be read as a request, or has not arrived in time, and closes the connection without a reset that would
 * discard the answer.
 *
 * @param error - Error that the HTTP server has reported.
 * @param socket - Socket of the connection; no response is being written to it.
 * @example
 * server.on("clientError", answerClientError);
 */
export function answerClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    socket.write(`HTTP/1.1 ${STATUS_LINES[error.code ?? ""] ?? DEFAULT_STATUS_LINE}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
    closeInOrder(socket);
}
