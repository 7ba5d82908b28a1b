import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { answerClientError } from "../../http/answerClientError/index.js";
import { refuseConnect } from "../../http/refuseConnect/index.js";
import { Holder } from "../../memory/Holder.js";
import { CallerConnection } from "../CallerConnection/index.js";
import { CallerConnectionsCallbacks } from "../CallerConnectionsCallbacks.js";

/** Maximum number of connections of callers; a process has 3,900 descriptors for sockets. */
const MAX_CONNECTIONS = 2_048;
/** Error code of Node.js when the peer has closed the connection within a request. */
const CLOSED_BY_PEER = "HPE_INVALID_EOF_STATE";

/** Connections of callers to an HTTP server. Bounds their number, and ends those that are idle, not read, or not HTTP. */
export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();

    private constructor(private readonly callbacks: CallerConnectionsCallbacks) {}

    /**
     * Takes over the connections of a server that has none yet.
     *
     * @param server - The server; its `timeout` is the time for which a caller may read nothing.
     * @param callbacks - Functions to call back.
     */
    static create(server: Server, callbacks: CallerConnectionsCallbacks): CallerConnections {
        const connections = new CallerConnections(callbacks);
        server.on("connection", (socket: Socket) => connections.handleConnection(socket));
        server.on("timeout", (socket: Socket) => connections.handleTimeout(socket));
        server.on("connect", (_request: IncomingMessage, socket: Socket) => connections.handleConnect(socket));
        server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => connections.handleClientError(error, socket));
        return connections;
    }

    /** Number of open connections, including those that are closed for writing only. */
    get count(): number {
        return this.connections.size;
    }

    /** Connections whose callers do not read their responses. */
    get unreadHolders(): readonly Holder[] {
        return [...this.connections.values()].filter(({ unreadBytes }) => unreadBytes > 0).map((connection) => ({
            heldBytes: connection.unreadBytes,
            unreadSinceMs: connection.unreadSinceMs,
            close: () => connection.destroy(),
        }));
    }

    /** Finds a connection that is open. */
    find(socket: Socket): CallerConnection | undefined {
        return this.connections.get(socket);
    }

    /** Closes connections without a pending request. */
    closeIdle(): void {
        [...this.connections.values()].filter(({ pendingCount }) => pendingCount === 0).forEach((connection) => connection.close());
    }

    private handleConnection(socket: Socket): void {
        const { onRelease, onUnreadReleased, onDisconnect, onRefusal } = this.callbacks;
        const connection = CallerConnection.create(socket, onRelease, (unsettled, unreadCount) => {
            this.connections.delete(socket);
            onUnreadReleased(unreadCount);
            unsettled.forEach(onDisconnect);
        });
        this.connections.set(socket, connection);
        if (this.connections.size > MAX_CONNECTIONS) {
            onRefusal("caller connections", this.connections.size, MAX_CONNECTIONS, socket.remoteAddress);
            const idle = [...this.connections.values()].find(({ pendingCount, isDestroyed }) => pendingCount === 0 && !isDestroyed);
            (idle ?? connection).destroy();
        }
    }

    /** Handles a connection without traffic for a while: it is idle, or its caller does not read, or a response is awaited. */
    private handleTimeout(socket: Socket): void {
        const connection = this.connections.get(socket);
        if (connection?.pendingCount === 0) {
            connection.close();
        }
        else if (socket.writableLength > 0) {
            this.callbacks.onRefusal("response that is not read", socket.writableLength, socket.writableLength, socket.remoteAddress);
            socket.destroy();
        }
    }

    private handleConnect(socket: Socket): void {
        const connection = this.connections.get(socket);
        if (connection === undefined || connection.pendingCount === 0) {
            refuseConnect(socket);
            return;
        }
        connection.closeAfterPending();
    }

    /** Handles bytes that cannot be read as a request. The requests before them are answered. */
    private handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
        const connection = this.connections.get(socket);
        const newest = connection?.newestPending;
        if (connection === undefined || newest === undefined) {
            answerClientError(error, socket);
        }
        else if (!socket.writable) {
            socket.destroy();
        }
        else if (!newest.response.req.complete && !newest.isSettled) {
            this.callbacks.onUnreadable(newest);
        }
        else if (error.code === CLOSED_BY_PEER) {
            socket.destroy();
        }
        else {
            connection.closeAfterPending();
        }
    }
}
