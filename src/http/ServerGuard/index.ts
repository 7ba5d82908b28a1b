import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import { answerClientError } from "../answerClientError/index.js";
import { closeInOrder } from "../closeInOrder/index.js";
import { dropInput } from "../dropInput/index.js";
import { refuseConnect } from "../refuseConnect/index.js";
import { RefusalListener } from "../../logs/RefusalListener.js";
import { ServerLimits } from "../ServerLimits.js";
import { UnfinishedHeaders } from "../UnfinishedHeaders/index.js";

const STATUS_EXPECTATION_FAILED = 417;
const STATUS_UNAVAILABLE = 503;
/** Time without a byte in either direction after which a connection is closed, in ms; longer than any request takes to handle. */
const IDLE_TIMEOUT_MS = 10_000;
/** Limit on the memory that unfinished header sections take, in bytes; a hundred times the requests that these ports get. */
const MAX_UNFINISHED_HEADER_BYTES = 2 * 1_024 * 1_024;
/** Time after which a refused client may come again, in seconds. */
const RETRY_AFTER_S = "1";

interface Connection {
    readonly pending: Set<ServerResponse>;
    /** True once no further request is taken from it. */
    isEnding: boolean;
}

/**
 * Bounds what the clients of an HTTP server hold: connections, unfinished header sections, requests, pipelined requests, unread
 * responses, and the rest of a body that nobody reads. Connections are closed in order, so that no reset discards an answer.
 */
export class ServerGuard {
    private readonly connections = new Map<Duplex, Connection>();
    private pendingCount = 0;

    private constructor(
        private readonly limits: ServerLimits,
        private readonly listener: RequestListener,
        private readonly onRefusal: RefusalListener,
    ) {}

    /**
     * Sets the limits of a server that has no listeners yet.
     *
     * @param server - Server, created with a `connectionsCheckingInterval` that is shorter than its timeouts.
     * @param limits - Limits on its clients.
     * @param listener - Handles the requests that the limits allow.
     * @param onRefusal - Called with each refusal.
     */
    static create(server: Server, limits: ServerLimits, listener: RequestListener, onRefusal: RefusalListener): ServerGuard {
        const guard = new ServerGuard(limits, listener, onRefusal);
        server.headersTimeout = limits.headersTimeoutMs;
        server.requestTimeout = limits.requestTimeoutMs;
        server.keepAliveTimeout = limits.keepAliveTimeoutMs;
        // Destroys connections on which nothing moves, such as those of clients that do not read their response.
        server.timeout = IDLE_TIMEOUT_MS;
        // The size of the header section limits the fields; fields beyond a number of them would be dropped silently.
        server.maxHeadersCount = 0;
        server.on("connection", (socket: Socket) => guard.handleConnection(socket));
        server.on("request", (request, response) => guard.handleRequest(request, response));
        server.on("checkExpectation", (request, response) => guard.handleExpectation(request, response));
        server.on("connect", (_request, socket) => guard.handleConnect(socket));
        server.on("clientError", (error, socket) => guard.handleClientError(error, socket));
        UnfinishedHeaders.create(server, MAX_UNFINISHED_HEADER_BYTES, onRefusal);
        return guard;
    }

    /** Number of open connections. */
    get connectionCount(): number {
        return this.connections.size;
    }

    /** Bytes of responses that the clients have not read. */
    get unreadBytes(): number {
        return [...this.connections.values()].flatMap(({ pending }) => [...pending]).reduce((sum, { writableLength }) => sum + writableLength, 0);
    }

    private handleConnection(socket: Socket): void {
        const connection: Connection = { pending: new Set(), isEnding: false };
        this.connections.set(socket, connection);
        // Node.js calls it after a response that closes the connection.
        socket.destroySoon = () => closeInOrder(socket);
        socket.once("close", () => {
            this.connections.delete(socket);
            this.pendingCount -= connection.pending.size;
            connection.pending.clear();
        });
        if (this.connections.size > this.limits.maxConnections) {
            this.evictConnection(socket);
        }
    }

    /** Closes the oldest connection without a request, or the newest one if all have requests. */
    private evictConnection(newest: Socket): void {
        this.onRefusal("connections", this.connections.size, this.limits.maxConnections, newest.remoteAddress);
        const [idle] = [...this.connections].find(([{ destroyed }, { pending }]) => pending.size === 0 && !destroyed) ?? [newest];
        idle.destroy();
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const { socket } = request;
        const connection = this.connections.get(socket);
        if (connection === undefined || connection.isEnding) {
            return;
        }
        if (connection.pending.size >= this.limits.maxPipelinedRequests) {
            this.onRefusal("pipelined requests", connection.pending.size, this.limits.maxPipelinedRequests, socket.remoteAddress);
            endConnection(connection, socket);
            return;
        }
        connection.pending.add(response);
        this.pendingCount += 1;
        const finish = (): void => this.finishResponse(connection, request, response);
        response.once("finish", finish);
        response.once("close", finish);
        if (this.isOverloaded(socket)) {
            response.shouldKeepAlive = false;
            response.writeHead(STATUS_UNAVAILABLE, { "retry-after": RETRY_AFTER_S, "content-length": 0 }).end();
            return;
        }
        this.listener(request, response);
    }

    private isOverloaded({ remoteAddress }: Socket): boolean {
        const { maxRequests, maxUnreadBytes } = this.limits;
        if (this.pendingCount > maxRequests) {
            this.onRefusal("requests", this.pendingCount, maxRequests, remoteAddress);
            return true;
        }
        const { unreadBytes } = this;
        if (unreadBytes > maxUnreadBytes) {
            this.onRefusal("unread responses", unreadBytes, maxUnreadBytes, remoteAddress);
            return true;
        }
        return false;
    }

    private finishResponse(connection: Connection, request: IncomingMessage, response: ServerResponse): void {
        if (!connection.pending.delete(response)) {
            return;
        }
        this.pendingCount -= 1;
        const isLast = connection.isEnding && connection.pending.size === 0;
        // The rest of an unread body may be endless.
        if (isLast || !request.complete) {
            connection.isEnding = true;
            closeInOrder(request.socket);
        }
    }

    private handleExpectation(request: IncomingMessage, response: ServerResponse): void {
        response.shouldKeepAlive = false;
        response.writeHead(STATUS_EXPECTATION_FAILED, { "content-length": 0 }).end();
        response.once("finish", () => closeInOrder(request.socket));
    }

    private handleConnect(socket: Duplex): void {
        const connection = this.connections.get(socket);
        if (connection === undefined || connection.pending.size === 0) {
            refuseConnect(socket);
            return;
        }
        endConnection(connection, socket);
    }

    private handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
        const connection = this.connections.get(socket);
        const pending = [...connection?.pending ?? []];
        const isBeingRead = pending.length === 1 && pending[0]?.req.complete === false && !pending[0].headersSent;
        if (connection !== undefined && pending.length > 0 && !isBeingRead && socket.writable) {
            endConnection(connection, socket);
            return;
        }
        answerClientError(error, socket);
    }
}

/** Takes no further request from a connection, and closes it after the answers to those that it has. */
function endConnection(connection: Connection, socket: Duplex): void {
    connection.isEnding = true;
    dropInput(socket);
}
