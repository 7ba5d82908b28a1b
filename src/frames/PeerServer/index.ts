import { createServer, type IncomingHttpHeaders, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { WebSocket, WebSocketServer } from "ws";
import { listenWithRetry } from "../../http/listenWithRetry/index.js";
import { UnfinishedHeaders } from "../../http/UnfinishedHeaders/index.js";
import { PeerServerOptions } from "../PeerServerOptions.js";
import { RefusalListener } from "../../logs/RefusalListener.js";

/** Time within which a connection must ask for a WebSocket, in ms. */
const UPGRADE_TIMEOUT_MS = 2_000;
/** Interval of checks for connections that have not asked in time, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Maximum size of the head of a request, in bytes. */
const MAX_HEADER_BYTES = 2 * 1_024;
/** Limit on the memory that unfinished heads take, in bytes; all proxies of the largest fleet can send a part of theirs at once. */
const MAX_UNFINISHED_HEADER_BYTES = 4 * 1_024 * 1_024;
/** Maximum number of connections that have not asked for a WebSocket; more than the processes of a large fleet. */
const MAX_PENDING_CONNECTIONS = 4_096;
/** Maximum number of WebSockets; several times the processes of a large fleet. */
const MAX_WEB_SOCKETS = 4_096;
const STATUS_UPGRADE_REQUIRED = 426;

/**
 * Server for the WebSockets of other processes of the fleet. Messages must come in one frame, as all processes send them, and
 * connections that do not ask for a WebSocket in time are closed; if there are too many of them, the oldest are.
 */
export class PeerServer {
    private readonly pending = new Set<Duplex>();

    private constructor(
        private readonly server: Server,
        private readonly webSocketServer: WebSocketServer,
        private readonly recordRefusal: RefusalListener,
        private readonly onConnection: (webSocket: WebSocket, networkSocket: Socket, headers: IncomingHttpHeaders) => void,
    ) {
        server.on("connection", (socket) => this.addPending(socket));
        server.on("upgrade", (request, socket, head) => this.handleUpgrade(request, socket, head));
        UnfinishedHeaders.create(server, MAX_UNFINISHED_HEADER_BYTES, recordRefusal);
    }

    /**
     * Starts listening.
     *
     * @param options - Address, and limits of frames.
     * @param onConnection - Called with each WebSocket, its connection and the header of its request once it is open.
     * @throws FleetError if the process cannot listen on the port.
     */
    static async create(
        options: PeerServerOptions,
        onConnection: (webSocket: WebSocket, networkSocket: Socket, headers: IncomingHttpHeaders) => void,
    ): Promise<PeerServer> {
        const server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            headersTimeout: UPGRADE_TIMEOUT_MS,
            requestTimeout: UPGRADE_TIMEOUT_MS,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        }, (_request, response) => {
            response.writeHead(STATUS_UPGRADE_REQUIRED, { "connection": "close", "content-length": 0 }).end();
        });
        const webSocketServer = new WebSocketServer({
            noServer: true,
            maxPayload: options.maxFrameBytes,
            maxFragments: 1,
            perMessageDeflate: false,
            verifyClient: ({ req }: { req: IncomingMessage }) => options.isAuthorized(req.headers.authorization),
        });
        const peerServer = new PeerServer(server, webSocketServer, options.recordRefusal, onConnection);
        const { host, port, name, onError, waits } = options;
        await listenWithRetry(`${name} ${host}:${port}`, () => server.listen(port, host), onError, waits);
        return peerServer;
    }

    /** All open WebSockets. */
    get clients(): ReadonlySet<WebSocket> {
        return this.webSocketServer.clients;
    }

    /** Closes all connections immediately and resolves when the server no longer listens. */
    async close(): Promise<void> {
        this.clients.forEach((client) => client.terminate());
        this.webSocketServer.close();
        this.pending.forEach((socket) => socket.destroy());
        await new Promise((resolve) => this.server.close(resolve));
    }

    private addPending(socket: Socket): void {
        this.pending.add(socket);
        socket.once("close", () => this.pending.delete(socket));
        const [oldest] = this.pending;
        if (this.pending.size > MAX_PENDING_CONNECTIONS) {
            oldest?.destroy();
            this.recordRefusal("connections without a request", this.pending.size, MAX_PENDING_CONNECTIONS, socket.remoteAddress);
        }
    }

    private handleUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
        this.pending.delete(socket);
        if (this.clients.size >= MAX_WEB_SOCKETS) {
            socket.destroy();
            this.recordRefusal("open WebSockets", this.clients.size, MAX_WEB_SOCKETS, request.socket.remoteAddress);
            return;
        }
        this.webSocketServer.handleUpgrade(request, socket, head, (webSocket) => this.onConnection(webSocket, request.socket, request.headers));
    }
}
