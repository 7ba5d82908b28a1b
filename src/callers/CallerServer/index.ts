import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { MAX_TIMER_MS } from "../../clock/maxTimerMs.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { LimitsItem } from "../../decisions/items/LimitsItem.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { BodyLimits } from "../../http/BodyLimits.js";
import { BodyResultKind } from "../../http/BodyResultKind.js";
import { findFramingProblem } from "../../http/findFramingProblem/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { hasBody } from "../../http/hasBody/index.js";
import { listenWithRetry } from "../../http/listenWithRetry/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { readBody } from "../../http/readBody/index.js";
import { RefusalListener } from "../../http/RefusalListener.js";
import { withoutConnectionHeaders } from "../../http/withoutConnectionHeaders/index.js";
import { assertNever } from "../../model/assertNever/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { toError } from "../../model/toError/index.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { CallerConnection } from "../CallerConnection/index.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";
import { CallerResponse } from "../CallerResponse.js";
import { PendingRequest } from "../PendingRequest.js";
import { writeResponse } from "../writeResponse/index.js";

/** Limits that apply until the configuration sets others. */
const DEFAULT_MAX_BODY_BYTES = 64 * 1_024 * 1_024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
/** Maximum size of a header section that the HTTP parser accepts, in bytes; the configured limit may be lower. */
const MAX_HEADER_BYTES = 128 * 1_024;
/** Limit on the buffered bytes of all bodies; each body is copied once, in a process of a few hundred megabytes. */
const MAX_BUFFERED_BODY_BYTES = 32 * 1_024 * 1_024;
/** Maximum time that a body takes, in ms; the longest time that a route may keep a caller waiting. */
const MAX_BODY_TIME_MS = 600_000;
/** Retry-after of a request that was refused because the body budget was exhausted, in ms; about the time of a request. */
const BUDGET_RETRY_AFTER_MS = 1_000;
const STATUS_BAD_REQUEST = 400;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;

/**
 * HTTP/1.1 server for callers. Reads complete requests, including pipelined ones, writes responses in the order of the
 * requests, and reports callers that disconnect. Bounds the memory for bodies and refuses requests that exceed it.
 */
export class CallerServer {
    private readonly connections = new Map<Socket, CallerConnection>();
    private limits: LimitsItem | undefined;
    private readonly bodyBudget = ByteBudget.create(MAX_BUFFERED_BODY_BYTES);
    private isDraining = false;

    private constructor(
        private readonly server: Server,
        private readonly dialect: CallerDialect,
        private readonly onRequest: (exchange: CallerExchange) => void,
        private readonly onError: (error: Error) => void,
        private readonly onRefusal: RefusalListener,
    ) {
        server.requestTimeout = 0;
        server.headersTimeout = DEFAULT_HEADER_TIMEOUT_MS;
        server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
        // The server would destroy connections whose responses are complete but not yet sent.
        server.closeIdleConnections = () => this.closeIdle();
        server.on("connection", (socket: Socket) => this.handleConnection(socket));
        server.on("request", (request: IncomingMessage, response: ServerResponse) => void this.handleRequest(request, response));
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
        const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, connectionsCheckingInterval: 1_000 });
        const [host, port] = address.split(":");
        await listenWithRetry(address, () => server.listen(Number(port), host), onError, waits);
        return new CallerServer(server, dialect, onRequest, onError, onRefusal);
    }

    /** Number of requests whose response has not been handed to the operating system. */
    get openRequestCount(): number {
        return [...this.connections.values()].reduce((sum, { pendingCount }) => sum + pendingCount, 0);
    }

    /** Bytes of request bodies that are held. */
    get heldBodyBytes(): number {
        return this.bodyBudget.heldBytes;
    }

    /** Number of open connections, including those that are closed for writing only. */
    get connectionCount(): number {
        return this.connections.size;
    }

    /** Sets the limits of the configuration. */
    setLimits(limits: LimitsItem | undefined): void {
        this.limits = limits;
        this.server.keepAliveTimeout = this.idleTimeoutMs;
        this.server.headersTimeout = Math.min(MAX_TIMER_MS, limits?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS);
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
        [...this.connections.values()].filter(({ pendingCount }) => pendingCount === 0).forEach((connection) => connection.close());
    }

    /** Stops listening and closes all connections immediately. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private handleConnection(socket: Socket): void {
        this.connections.set(socket, CallerConnection.create(socket, (unsettled) => {
            this.connections.delete(socket);
            unsettled.forEach((pending) => {
                pending.isSettled = true;
                this.releaseBody(pending);
                pending.onDisconnect?.();
            });
        }));
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const connection = this.connections.get(request.socket);
        if (connection?.acceptsRequests !== true) {
            request.resume();
            return;
        }
        const pending: PendingRequest = { response, isSettled: false, bodyBytes: 0, onDisconnect: undefined };
        connection.add(pending);
        const headers = pairHeaders(request.rawHeaders);
        const respond = (callerResponse: CallerResponse): void => this.respond(pending, request, callerResponse);
        try {
            await this.readRequest(request, pending, headers, respond);
        }
        catch (thrown) {
            this.onError(toError(thrown));
            respond(this.createFailure(headers));
        }
    }

    private async readRequest(
        request: IncomingMessage,
        pending: PendingRequest,
        headers: HeaderList,
        respond: (response: CallerResponse) => void,
    ): Promise<void> {
        const arrivedAtMs = nowMs();
        const metadata = this.dialect.readMetadata(headers);
        const problemStatus = this.findProblemStatus(request, headers);
        if (problemStatus !== undefined) {
            respond({
                status: problemStatus,
                headers: this.dialect.ownResponseHeaders(metadata.requestId, undefined),
                body: Buffer.alloc(0),
            });
            return;
        }
        const result = await readBody(request, this.bodyLimits(metadata.patienceMs), this.bodyBudget);
        if (result.kind !== BodyResultKind.Complete) {
            this.refuseIncompleteBody(result.kind, request, metadata.requestId, respond);
            return;
        }
        const { body } = result;
        pending.bodyBytes = body.length;
        if (pending.isSettled) {
            this.releaseBody(pending);
            return;
        }
        const announcesBody = request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
        this.onRequest({
            request: {
                method: request.method ?? "GET",
                path: request.url ?? "/",
                host: findHeader(headers, "host") ?? "",
                headers: this.dialect.forwardedHeaders(withoutConnectionHeaders(headers)),
                body,
                hasBody: announcesBody,
                arrivedAtMs,
                ...metadata,
            },
            respond,
            onDisconnect: (listener) => {
                pending.onDisconnect = listener;
            },
        });
    }

    /** Returns the status with which a request is refused before its body is read, or undefined if its header section is fine. */
    private findProblemStatus(request: IncomingMessage, headers: HeaderList): number | undefined {
        if (this.hasTooLargeHeaders(request)) {
            return STATUS_HEADERS_TOO_LARGE;
        }
        // The parser of Node.js accepts transfer codings before the chunks, which would be lost when the body is forwarded.
        return findFramingProblem(headers, request.httpVersionMinor > 0) === undefined ? undefined : STATUS_BAD_REQUEST;
    }

    private hasTooLargeHeaders(request: IncomingMessage): boolean {
        const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? "").length);
        return bytes > (this.limits?.maxHeaderBytes ?? MAX_HEADER_BYTES);
    }

    private bodyLimits(patienceMs: number | undefined): BodyLimits {
        return {
            maxBytes: this.limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
            idleTimeoutMs: this.idleTimeoutMs,
            totalTimeoutMs: Math.min(patienceMs ?? MAX_BODY_TIME_MS, MAX_BODY_TIME_MS),
        };
    }

    private get idleTimeoutMs(): number {
        return Math.min(MAX_TIMER_MS, this.limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS);
    }

    /** Refuses a request whose body could not be read; it has not been executed. */
    private refuseIncompleteBody(
        kind: Exclude<BodyResultKind, BodyResultKind.Complete>,
        request: IncomingMessage,
        requestId: string,
        respond: (response: CallerResponse) => void,
    ): void {
        const refuse = (status: number, retryAfterMs: number | undefined): void =>
            respond({ status, headers: this.dialect.ownResponseHeaders(requestId, retryAfterMs), body: Buffer.alloc(0) });
        switch (kind) {
            case BodyResultKind.TooLarge:
                refuse(STATUS_BODY_TOO_LARGE, undefined);
                return;
            case BodyResultKind.TooManyPieces:
                this.onRefusal("pieces of a request body", request.socket.bytesRead, MAX_BUFFERED_BODY_BYTES, request.socket.remoteAddress);
                refuse(STATUS_BODY_TOO_LARGE, undefined);
                return;
            case BodyResultKind.BudgetExhausted:
                this.onRefusal("request bodies", this.bodyBudget.heldBytes, MAX_BUFFERED_BODY_BYTES, request.socket.remoteAddress);
                refuse(STATUS_UNAVAILABLE, BUDGET_RETRY_AFTER_MS);
                return;
            case BodyResultKind.Stalled:
                refuse(STATUS_REQUEST_TIMEOUT, undefined);
                return;
            case BodyResultKind.Aborted:
                // The close event of the caller's connection settles the request.
                return;
            default:
                assertNever(kind);
        }
    }

    private releaseBody(pending: PendingRequest): void {
        this.bodyBudget.release(pending.bodyBytes);
        pending.bodyBytes = 0;
    }

    /** Response to a request that may have run and whose outcome cannot be passed on. */
    private createFailure(requestHeaders: HeaderList): CallerResponse {
        const { requestId } = this.dialect.readMetadata(requestHeaders);
        return { status: STATUS_BAD_GATEWAY, headers: this.dialect.ownResponseHeaders(requestId, undefined), body: Buffer.alloc(0) };
    }

    private respond(pending: PendingRequest, request: IncomingMessage, callerResponse: CallerResponse): void {
        if (pending.isSettled) {
            return;
        }
        pending.isSettled = true;
        this.releaseBody(pending);
        const { response } = pending;
        const connection = this.connections.get(request.socket);
        const shouldClose = this.isDraining && (connection?.pendingCount ?? 0) <= 1;
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
            writeResponse(response, method, this.createFailure(pairHeaders(request.rawHeaders)));
        }
    }
}
