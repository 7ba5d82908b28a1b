import type { Duplex } from "node:stream";
import { dropInput } from "../dropInput/index.js";

/** Time for which a connection that was closed for writing is still read, in ms; several round trips to the peer. */
const LINGER_MS = 1_000;

/**
 * Closes a connection for writing after all that was written, and reads on until the peer closes it as well, for 1 s at most:
 * a socket that is closed while bytes are unread is reset, and the reset discards what the peer has not read yet. What is read
 * is dropped unparsed.
 *
 * @param socket - Socket of a connection that an HTTP server has accepted.
 * @example
 * socket.destroySoon = () => closeInOrder(socket);
 */
export function closeInOrder(socket: Duplex): void {
    dropInput(socket);
    // The peer may reset the connection meanwhile; the close event follows.
    socket.on("error", () => undefined);
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once("close", () => clearTimeout(timer));
}
