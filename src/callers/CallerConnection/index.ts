import type { Socket } from "node:net";
import { closeInOrder } from "../../http/closeInOrder/index.js";
import { dropInput } from "../../http/dropInput/index.js";
import { PendingRequest } from "../PendingRequest.js";

/**
 * Connection of a caller. It is closed for writing first and then read until the caller closes it as well: a socket that is
 * closed while bytes are unread is reset, and the reset discards responses that the caller has not read yet.
 */
export class CallerConnection {
    private readonly pending = new Set<PendingRequest>();
    private isLastResponseSet = false;
    private isClosing = false;

    private constructor(private readonly socket: Socket) {}

    /**
     * Takes over a connection. The HTTP server, which would destroy it after the last response, closes it in the same way.
     *
     * @param socket - Socket of the connection.
     * @param onClose - Called once when the socket is closed, with the requests that are still pending.
     */
    static create(socket: Socket, onClose: (pending: readonly PendingRequest[]) => void): CallerConnection {
        const connection = new CallerConnection(socket);
        socket.destroySoon = () => connection.close();
        socket.once("close", () => onClose([...connection.pending]));
        return connection;
    }

    /** Number of requests whose response has not been handed to the operating system. */
    get pendingCount(): number {
        return this.pending.size;
    }

    /** False once the last response is chosen: the caller takes requests behind it for not read. */
    get acceptsRequests(): boolean {
        return !this.isLastResponseSet && !this.isClosing;
    }

    /** Adds a request, until its response has been handed to the operating system. */
    add(pending: PendingRequest): void {
        this.pending.add(pending);
        const remove = (): void => void this.pending.delete(pending);
        pending.response.once("finish", remove);
        pending.response.once("close", remove);
    }

    /** Records that the response which is written now closes the connection; what the caller still sends is dropped. */
    setLastResponse(): void {
        this.isLastResponseSet = true;
        dropInput(this.socket);
    }

    /** Closes the connection after what was written, and reads on for a while so that it is not reset. */
    close(): void {
        if (this.isClosing) {
            return;
        }
        this.isClosing = true;
        closeInOrder(this.socket);
    }
}
