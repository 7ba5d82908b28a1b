import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { nowMs } from "../../clock/nowMs/index.js";
import { LimitsItem } from "../../decisions/items/LimitsItem.js";
import { awaitsContinue } from "../../http/awaitsContinue/index.js";
import { BodyResultKind } from "../../http/BodyResultKind.js";
import { estimateHeaderBytes } from "../../http/estimateHeaderBytes/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { hasBody } from "../../http/hasBody/index.js";
import { listenWithRetry } from "../../http/listenWithRetry/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { readBody } from "../../http/readBody/index.js";
import { RefusalListener } from "../../logs/RefusalListener.js";
import { UnfinishedHeaders } from "../../http/UnfinishedHeaders/index.js";
import { withoutConnectionHeaders } from "../../http/withoutConnectionHeaders/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { toError } from "../../model/toError/index.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { CallerConnection } from "../CallerConnection/index.js";
import { CallerConnections } from "../CallerConnections/index.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";
import { CallerHoldings } from "../CallerHoldings/index.js";
import { CallerLimits } from "../CallerLimits/index.js";
import { CallerResponse } from "../CallerResponse.js";
import { findIncompleteBodyStatus } from "../findIncompleteBodyStatus/index.js";
import { findProblemStatus } from "../findProblemStatus/index.js";
import { PendingRequest } from "../PendingRequest.js";
import { writeResponse } from "../writeResponse/index.js";

/** Retry-after of a request that was refused because too much is held, in ms; about the time of a request. */
const BUDGET_RETRY_AFTER_MS = 1_000;
/** Interval at which timeouts of header sections are checked, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** What the HTTP parser accepts beyond the limit on a header section, in bytes; the limit itself is checked afterwards. */
const HEADER_SLACK_BYTES = 1_024;
/**
 * Limit on the memory that unfinished header sections take, in bytes: each of the 2,048 connections that are accepted may have sent a
 * thousand bytes in a hundred fields. A request that arrives in one read has no unfinished section.
 */
const MAX_UNFINISHED_HEADER_BYTES = 24 * 1_024 * 1_024;
const STATUS_BAD_REQUEST = 400;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;

/**
 * HTTP/1.1 server for callers. Reads complete requests, including pipelined ones, writes responses in the order of the
 * requests, and reports callers that disconnect. Bounds what callers hold and refuses requests that exceed it.
 */
export class CallerServer {
    private readonly connections: CallerConnections;
    private readonly holdings: CallerHoldings;
    private limits = CallerLimits.create(undefined);
    private isDraining = false;

    private constructor(
        private readonly server: Server,
        private readonly dialect: CallerDialect,
        private readonly onRequest: (exchange: CallerExchange) => void,
        private readonly onError: (error: Error) => void,
        private readonly onRefusal: RefusalListener,
    ) {
        this.holdings = CallerHoldings.create(onRefusal);
        this.connections = CallerConnections.create(server, {
            onRelease: (pending) => this.holdings.release(pending),
            onUnreadReleased: (count) => this.holdings.releaseUnread(count),
            onDisconnect: (pending) => {
                pending.isSettled = true;
                pending.onDisconnect?.();
            },
            onUnreadable: (pending) => this.respond(pending, pending.response.req, this.createOwnResponse(STATUS_BAD_REQUEST, pending.response.req)),
            onRefusal,
        });
        server.requestTimeout = 0;
        // The size of the header section limits the fields; fields beyond a number of them would be dropped silently.
        server.maxHeadersCount = 0;
        this.applyLimits();
        // The server would destroy connections whose responses are complete but not yet sent.
        server.closeIdleConnections = () => this.connections.closeIdle();
        for (const name of ["request", "checkContinue", "checkExpectation"]) {
            server.on(name, (request: IncomingMessage, response: ServerResponse) => void this.handleRequest(request, response));
        }
        UnfinishedHeaders.create(server, MAX_UNFINISHED_HEADER_BYTES, onRefusal);
    }

    /**
     * Starts listening for callers.
     *
     * @param address - `host:port`.
     * @param dialect - Conventions for requests and responses.
     * @param onRequest - Called with each request.
     * @param onError - Called with each unexpected error, which fails only its own request or connection.
     * @param onRefusal - Called when a limit on what callers hold refuses more.
     * @param waits - Waits for a port that is held; without it, that is an error.
     * @throws FleetError if the server cannot listen on the address.
     */
    static async create(
        address: string,
        dialect: CallerDialect,
        onRequest: (exchange: CallerExchange) => void,
        onError: (error: Error) => void,
        onRefusal: RefusalListener = () => undefined,
        waits?: StartWaits,
    ): Promise<CallerServer> {
        const server = createServer({ noDelay: true, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS });
        const [host, port] = address.split(":");
        await listenWithRetry(address, () => server.listen(Number(port), host), onError, waits);
        return new CallerServer(server, dialect, onRequest, onError, onRefusal);
    }

    /** Number of requests whose response has not been handed to the operating system. */
    get openRequestCount(): number {
        return this.holdings.openRequestCount;
    }

    /** Bytes of requests that are held. */
    get heldRequestBytes(): number {
        return this.holdings.requestBudget.heldBytes;
    }

    /** Bytes of responses that callers have not read. */
    get unreadResponseBytes(): number {
        return this.holdings.unreadBytes;
    }

    /** Number of open connections, including those that are closed for writing only. */
    get connectionCount(): number {
        return this.connections.count;
    }

    /** Sets the limits of the configuration. */
    setLimits(limits: LimitsItem | undefined): void {
        this.limits = CallerLimits.create(limits);
        this.applyLimits();
    }

    /** Closes each connection after its last pending response. */
    startDraining(): void {
        this.isDraining = true;
    }

    /** Stops accepting connections and closes idle ones. */
    stopListening(): void {
        this.server.close();
    }

    /** Closes connections without a pending request. */
    closeIdle(): void {
        this.connections.closeIdle();
    }

    /** Stops listening and closes all connections immediately. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private applyLimits(): void {
        const { idleTimeoutMs, headerTimeoutMs, unreadTimeoutMs, maxHeaderBytes } = this.limits;
        this.server.keepAliveTimeout = idleTimeoutMs;
        this.server.headersTimeout = headerTimeoutMs;
        this.server.timeout = unreadTimeoutMs;
        // Node.js reads it with each new connection; its types know it as an option only.
        Object.assign(this.server, { maxHeaderSize: maxHeaderBytes + HEADER_SLACK_BYTES });
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const connection = this.connections.find(request.socket);
        if (connection === undefined || !this.accepts(connection, request)) {
            request.resume();
            return;
        }
        const pending: PendingRequest = { response, isSettled: false, headerBytes: 0, bodyBytes: 0, responseBytes: 0, onDisconnect: undefined };
        this.holdings.add();
        connection.add(pending);
        const headers = pairHeaders(request.rawHeaders);
        const respond = (callerResponse: CallerResponse): void => this.respond(pending, request, callerResponse);
        try {
            await this.readRequest(request, pending, headers, respond);
        }
        catch (thrown) {
            this.onError(toError(thrown));
            respond(this.createOwnResponse(STATUS_BAD_GATEWAY, request));
        }
    }

    /** Returns whether a request is accepted, and closes its connection if it brings too many. */
    private accepts(connection: CallerConnection, request: IncomingMessage): boolean {
        const { pendingCount, isFull } = connection;
        if (this.holdings.isExhausted && pendingCount > 0) {
            this.onRefusal("pipelined requests of all callers", this.holdings.openRequestCount, pendingCount, request.socket.remoteAddress);
            connection.destroy();
        }
        else if (isFull && connection.acceptsRequests) {
            this.onRefusal("pipelined requests", pendingCount, pendingCount, request.socket.remoteAddress);
            connection.closeAfterPending();
        }
        if (connection.acceptsRequests) {
            return true;
        }
        connection.addUnread();
        this.holdings.addUnread();
        return false;
    }

    private async readRequest(
        request: IncomingMessage,
        pending: PendingRequest,
        headers: HeaderList,
        respond: (response: CallerResponse) => void,
    ): Promise<void> {
        const arrivedAtMs = nowMs();
        const metadata = this.dialect.readMetadata(headers);
        const problemStatus = findProblemStatus(request, headers, this.limits.maxHeaderBytes);
        if (problemStatus !== undefined) {
            respond(this.createOwnResponse(problemStatus, request));
            return;
        }
        if (!this.holdings.tryAcquire(pending, estimateHeaderBytes(headers))) {
            respond(this.createOwnResponse(STATUS_UNAVAILABLE, request));
            return;
        }
        const bodyLimits = this.limits.bodyLimits(metadata.patienceMs);
        if (awaitsContinue(request) && Number(request.headers["content-length"] ?? 0) <= bodyLimits.maxBytes) {
            pending.response.writeContinue();
        }
        const result = await readBody(request, bodyLimits, this.holdings.requestBudget);
        if (result.kind !== BodyResultKind.Complete) {
            this.holdings.recordIncompleteBody(result.kind, pending);
            const status = findIncompleteBodyStatus(result.kind);
            if (status !== undefined) {
                respond(this.createOwnResponse(status, request));
            }
            return;
        }
        const { body } = result;
        pending.bodyBytes += body.length;
        if (pending.isSettled) {
            this.holdings.releaseBody(pending);
            return;
        }
        this.onRequest({
            request: {
                method: request.method ?? "GET",
                path: request.url ?? "/",
                host: findHeader(headers, "host") ?? "",
                headers: this.dialect.forwardedHeaders(withoutConnectionHeaders(headers)),
                body,
                hasBody: request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined,
                arrivedAtMs,
                ...metadata,
            },
            respond,
            onDisconnect: (listener) => {
                pending.onDisconnect = listener;
            },
        });
    }

    /** Response that no endpoint has made. */
    private createOwnResponse(status: number, request: IncomingMessage): CallerResponse {
        const { requestId } = this.dialect.readMetadata(pairHeaders(request.rawHeaders));
        const retryAfterMs = status === STATUS_UNAVAILABLE ? BUDGET_RETRY_AFTER_MS : undefined;
        return { status, headers: this.dialect.ownResponseHeaders(requestId, retryAfterMs), body: Buffer.alloc(0) };
    }

    private respond(pending: PendingRequest, request: IncomingMessage, callerResponse: CallerResponse): void {
        if (pending.isSettled) {
            return;
        }
        pending.isSettled = true;
        this.holdings.releaseBody(pending);
        this.holdings.holdResponse(pending, callerResponse.body.length + estimateHeaderBytes(callerResponse.headers));
        const { response } = pending;
        const connection = this.connections.find(request.socket);
        const shouldClose = connection?.isLast(pending) === true || (this.isDraining && (connection?.pendingCount ?? 0) <= 1);
        response.sendDate = false;
        // The rest of an unread body may be endless, so the connection cannot be reused.
        response.shouldKeepAlive &&= !shouldClose && (request.complete || !hasBody(request));
        if (!response.shouldKeepAlive) {
            connection?.setLastResponse();
        }
        request.resume();
        const method = request.method ?? "GET";
        try {
            writeResponse(response, method, callerResponse);
        }
        catch (thrown) {
            this.onError(toError(thrown));
            if (response.headersSent) {
                response.destroy();
                return;
            }
            writeResponse(response, method, this.createOwnResponse(STATUS_BAD_GATEWAY, request));
        }
    }
}
