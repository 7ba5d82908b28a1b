import type { Socket } from "node:net";
import { closeInOrder } from "../../http/closeInOrder/index.js";
import { dropInput } from "../../http/dropInput/index.js";
import { PendingRequest } from "../PendingRequest.js";

/** Number of pending requests from which on no more are read until half of them are answered; a caller that leaves then is noticed late. */
const MAX_READ_AHEAD = 64;
/** Maximum number of pending requests; a read of 64 KiB holds fewer, unless their header sections are nearly empty. */
const MAX_PENDING = 1_024;

/**
 * Connection of a caller. It is closed for writing first and then read until the caller closes it as well: a socket that is
 * closed while bytes are unread is reset, and the reset discards responses that the caller has not read yet.
 */
export class CallerConnection {
    private readonly pending = new Set<PendingRequest>();
    private isLastResponseSet = false;
    private isClosing = false;
    /** True while no more requests are read because too many are pending. */
    private isHeld = false;
    private unreadCount = 0;

    private constructor(private readonly socket: Socket, private readonly onRelease: (pending: PendingRequest) => void) {}

    /**
     * Takes over a connection. The HTTP server, which would destroy it after the last response, closes it in the same way.
     *
     * @param socket - Socket of the connection.
     * @param onRelease - Called once for each request when its response has been handed to the operating system, or the socket is closed.
     * @param onClose - Called once when the socket is closed, with the requests that were still pending and the number of unread ones.
     */
    static create(
        socket: Socket,
        onRelease: (pending: PendingRequest) => void,
        onClose: (pending: readonly PendingRequest[], unreadCount: number) => void,
    ): CallerConnection {
        const connection = new CallerConnection(socket, onRelease);
        socket.destroySoon = () => connection.close();
        // Node.js resumes a connection with each request that has been read.
        socket.on("resume", () => connection.isHeld && socket.pause());
        socket.once("close", () => {
            const unsettled = [...connection.pending];
            unsettled.forEach((pending) => connection.remove(pending));
            onClose(unsettled, connection.unreadCount);
        });
        return connection;
    }

    /** Number of requests whose response has not been handed to the operating system. */
    get pendingCount(): number {
        return this.pending.size;
    }

    /** Bytes of responses that are held because the caller has not read them. */
    get unreadBytes(): number {
        return [...this.pending].reduce((sum, { responseBytes }) => sum + responseBytes, 0);
    }

    /** Time since which the caller has read nothing of these responses, in ms. */
    get unreadSinceMs(): number {
        return [...this.pending].filter(({ responseBytes }) => responseBytes > 0)
            .reduce((firstMs, { unreadSinceMs }) => Math.min(firstMs, unreadSinceMs), Number.POSITIVE_INFINITY);
    }

    /** True if no further request can be held. */
    get isFull(): boolean {
        return this.pending.size >= MAX_PENDING;
    }

    /** False once the last response is chosen: the caller takes requests behind it for not read. */
    get acceptsRequests(): boolean {
        return !this.isLastResponseSet && !this.isClosing && !this.socket.destroyed;
    }

    /** Latest request without a response that has been handed over. */
    get newestPending(): PendingRequest | undefined {
        return [...this.pending].at(-1);
    }

    /** True if the response to a request is the last one, since no further requests are accepted. */
    isLast(pending: PendingRequest): boolean {
        return !this.acceptsRequests && this.newestPending === pending;
    }

    /** Adds a request, until its response has been handed to the operating system. */
    add(pending: PendingRequest): void {
        this.pending.add(pending);
        if (this.pending.size >= MAX_READ_AHEAD) {
            this.isHeld = true;
            this.socket.pause();
        }
        const remove = (): void => this.remove(pending);
        pending.response.once("finish", remove);
        pending.response.once("close", remove);
    }

    /** Counts a request that is not accepted: its caller takes it for not read. Node.js holds it until the connection is closed. */
    addUnread(): void {
        this.unreadCount += 1;
    }

    /** Records that the response which is written now closes the connection; what the caller still sends is dropped. */
    setLastResponse(): void {
        this.isLastResponseSet = true;
        this.isHeld = false;
        dropInput(this.socket);
    }

    /** Accepts no further requests, and closes the connection after the responses to those that are pending. */
    closeAfterPending(): void {
        this.setLastResponse();
        if (this.pending.size === 0) {
            this.close();
        }
    }

    /** Closes the connection after what was written, and reads on for a while so that it is not reset. */
    close(): void {
        if (this.isClosing) {
            return;
        }
        this.isClosing = true;
        closeInOrder(this.socket);
    }

    /** True once the connection is closed in both directions. */
    get isDestroyed(): boolean {
        return this.socket.destroyed;
    }

    /** Closes the connection immediately. */
    destroy(): void {
        this.socket.destroy();
    }

    private remove(pending: PendingRequest): void {
        if (!this.pending.delete(pending)) {
            return;
        }
        this.onRelease(pending);
        if (this.isHeld && this.pending.size < MAX_READ_AHEAD / 2) {
            this.isHeld = false;
            this.socket.resume();
        }
        if (this.isLastResponseSet && this.pending.size === 0 && !this.socket.destroyed) {
            this.close();
        }
    }
}
