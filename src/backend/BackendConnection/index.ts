import { connect, Socket } from "node:net";
import { nowMs } from "../../clock/nowMs/index.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { toError } from "../../model/toError/index.js";
import { BackendRequest } from "../BackendRequest.js";
import { BackendResponse } from "../BackendResponse.js";
import { BackendResult } from "../BackendResult.js";
import { BackendResultKind } from "../BackendResultKind.js";
import { CreditedBody } from "../CreditedBody/index.js";
import { encodeRequest } from "../encodeRequest/index.js";
import { ParsedResponse } from "../ParsedResponse.js";
import { ResponseDialect } from "../ResponseDialect.js";
import { ResponseExcess } from "../ResponseExcess.js";
import { ResponseLimitError } from "../ResponseLimitError.js";
import { ResponseLimits } from "../ResponseLimits.js";
import { ResponseParser } from "../ResponseParser/index.js";

/** Idle limit of a connection whose backend server states none, in ms. */
const DEFAULT_IDLE_LIMIT_MS = 4_000;
/** Margin before the stated idle limit from which a connection is no longer reused, in ms. */
const IDLE_MARGIN_MS = 1_000;
/** Limits on what is read for one request: complete ones larger than any of the current services, others twice the longest known. */
const RESPONSE_LIMITS: ResponseLimits = {
    maxBodyBytes: 16 * 1_024 * 1_024,
    maxStreamedBytes: 128 * 1_024 * 1_024,
    maxHeadBytes: 64 * 1_024,
    maxFields: 1_000,
    maxSmallChunks: 65_536,
    minMeanChunkBytes: 16,
};
/** Time without any byte after which a response that is passed on counts as broken, in ms; its caller has no deadline any more. */
const STREAM_IDLE_MS = 15_000;
/** Time after which a response that is passed on is ended, in ms: the longest time that a route may keep a caller waiting. */
const STREAM_TIME_MS = 600_000;
const EMPTY = Buffer.alloc(0);
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/**
 * Connection to a backend server with one request at a time. Matches responses to requests by the id that they echo:
 * a response to an earlier request is ignored. After unexpected bytes the connection is not reused.
 */
export class BackendConnection {
    private readonly parser: ResponseParser;
    private request: BackendRequest | undefined;
    private resolveExchange: ((result: BackendResult) => void) | undefined;
    /** Body of the response that is passed on while it is received. */
    private stream: CreditedBody | undefined;
    private streamTimer: NodeJS.Timeout | undefined;
    private streamEndTimer: NodeJS.Timeout | undefined;
    private idleLimitMs = DEFAULT_IDLE_LIMIT_MS;
    private requestCount = 0;
    private sentAtMs = 0;
    private isOpen = false;
    private isRetired = false;
    private respondedAtMs = nowMs();

    private constructor(private readonly socket: Socket, private readonly dialect: ResponseDialect, private readonly budget: ByteBudget) {
        const onResponse = (response: ParsedResponse): void => this.handleResponse(response);
        this.parser = ResponseParser.create(onResponse, RESPONSE_LIMITS, budget, (head) => this.handleLongResponse(head));
        socket.setNoDelay(true);
        socket.on("data", (chunk: Buffer) => this.handleData(chunk));
        socket.on("end", () => this.handleEnd());
        socket.on("error", (error) => this.fail(error.message));
        socket.on("close", () => this.fail("the connection was closed"));
    }

    /**
     * Opens a connection.
     *
     * @param host - IP address of the backend server.
     * @param port - Port of the backend server.
     * @param timeoutMs - Time to wait for the connection.
     * @param dialect - Conventions by which responses identify themselves.
     * @param budget - Limit on the bytes of incomplete responses that all connections buffer together.
     * @throws Error if the connection cannot be opened in time.
     */
    static create(
        host: string,
        port: number,
        timeoutMs: number,
        dialect: ResponseDialect,
        budget: ByteBudget,
    ): Promise<BackendConnection> {
        return new Promise((resolve, reject) => {
            const socket = connect({ host, port, allowHalfOpen: true });
            const timer = setTimeout(() => socket.destroy(new Error(`no connection within ${timeoutMs} ms`)), timeoutMs);
            const handleConnectError = (error: Error): void => {
                clearTimeout(timer);
                reject(error);
            };
            socket.once("error", handleConnectError);
            socket.once("connect", () => {
                clearTimeout(timer);
                socket.off("error", handleConnectError);
                const connection = new BackendConnection(socket, dialect, budget);
                connection.isOpen = true;
                resolve(connection);
            });
        });
    }

    /** Returns whether a request can be sent now, provided that the connection has been idle for at most `maxIdleMs`. */
    isUsable(atMs: number, maxIdleMs: number): boolean {
        const idleMs = atMs - this.respondedAtMs;
        return this.isOpen && !this.isRetired && this.request === undefined && idleMs <= Math.min(maxIdleMs, this.idleLimitMs);
    }

    /** True while a request is in flight. */
    get isBusy(): boolean {
        return this.request !== undefined;
    }

    /** True once the connection is unused and can take no further request. */
    get isDone(): boolean {
        return this.request === undefined && (!this.isOpen || this.isRetired);
    }

    /** Time at which the last response was complete, or the connection was opened, in ms. */
    get lastUsedAtMs(): number {
        return this.respondedAtMs;
    }

    /** Sends a request and waits for its response. */
    exchange(request: BackendRequest): Promise<BackendResult> {
        this.request = request;
        this.requestCount += 1;
        this.sentAtMs = nowMs();
        this.parser.expectResponse(request.method, request.canStream, request.maxBodyBytes);
        return new Promise((resolve) => {
            this.resolveExchange = resolve;
            this.socket.cork();
            encodeRequest(request).forEach((piece) => this.socket.write(piece));
            this.socket.uncork();
        });
    }

    /** Closes the connection immediately. A request in flight fails. */
    close(): void {
        this.isOpen = false;
        this.socket.destroy();
        this.fail("the connection was closed by this side");
    }

    private handleData(chunk: Buffer): void {
        if (this.request === undefined) {
            this.close();
            return;
        }
        this.streamTimer?.refresh();
        try {
            this.parser.parse(chunk);
        }
        catch (thrown) {
            this.isRetired = true;
            const error = toError(thrown);
            this.fail(`invalid response: ${error.message}`, error instanceof ResponseLimitError ? error.excess : undefined);
            this.socket.destroy();
        }
    }

    /**
     * Handles the end of the stream. The kernel reports an orderly end even if a reset followed right after the last bytes.
     * An empty write distinguishes the two: it fails on a connection that was reset, and otherwise sends nothing.
     */
    private handleEnd(): void {
        this.isOpen = false;
        this.socket.write(EMPTY, (error) => {
            if (error instanceof Error) {
                this.fail(error.message);
            }
            else {
                this.finishParsing();
            }
            this.socket.destroy();
        });
    }

    private finishParsing(): void {
        try {
            this.parser.end();
        }
        catch (thrown) {
            this.fail(toError(thrown).message);
        }
    }

    /**
     * Returns the exchange before its response is complete, since the body is too long to be held. Does so only if the head alone
     * shows that the response belongs to the request and that the request has run.
     */
    private handleLongResponse(head: BackendResponse): CreditedBody | undefined {
        const { request } = this;
        if (request === undefined || this.dialect.isNotRun(head.status, head.headers)) {
            return undefined;
        }
        const responseRequestId = this.dialect.readRequestId(head.headers);
        if (responseRequestId === undefined ? !this.canOmitRequestId(request, head) : responseRequestId !== request.requestId) {
            return undefined;
        }
        const stream = CreditedBody.create({
            onFull: () => this.stream === stream && this.socket.pause(),
            onRoom: () => this.stream === stream && this.socket.resume(),
            onTaken: (bytes) => this.budget.release(bytes),
            onCancel: () => this.stream === stream && this.close(),
        });
        this.stream = stream;
        this.streamTimer = setTimeout(() => this.handleStreamIdle(), STREAM_IDLE_MS);
        this.streamEndTimer = setTimeout(() => this.failStream(`the response took more than ${STREAM_TIME_MS} ms`), STREAM_TIME_MS);
        this.resolveExchange?.({ kind: BackendResultKind.Answered, answer: { ...head, stream }, stream });
        this.resolveExchange = undefined;
        return stream;
    }

    /** Handles a response of which nothing came for a while: its reader has no room, or the backend server sends nothing. */
    private handleStreamIdle(): void {
        if (this.stream?.waitsSinceMs === undefined) {
            this.failStream(`nothing came of the response for ${STREAM_IDLE_MS} ms`);
        }
        else {
            this.streamTimer?.refresh();
        }
    }

    private failStream(problem: string): void {
        this.fail(problem);
        this.socket.destroy();
    }

    private handleResponse(response: ParsedResponse): void {
        const { request } = this;
        const responseRequestId = this.dialect.readRequestId(response.headers);
        if (request === undefined || (responseRequestId !== undefined && responseRequestId !== request.requestId)) {
            this.isRetired = true;
            return;
        }
        if (responseRequestId === undefined && !this.canOmitRequestId(request, response)) {
            this.isRetired = true;
            this.fail("the response lacks the id of its request");
            this.socket.destroy();
            return;
        }
        const timeoutS = Number(KEEP_ALIVE_TIMEOUT.exec(findHeader(response.headers, "keep-alive") ?? "")?.[1]);
        this.idleLimitMs = Number.isFinite(timeoutS) ? Math.max(0, timeoutS * 1_000 - IDLE_MARGIN_MS) : DEFAULT_IDLE_LIMIT_MS;
        if (!response.keepsAlive || this.socket.writableLength > 0) {
            this.isRetired = true;
        }
        this.respondedAtMs = nowMs();
        this.endStream();
        this.finish({ kind: BackendResultKind.Answered, answer: { status: response.status, headers: response.headers, body: response.body } });
        if (this.isRetired) {
            this.socket.end();
        }
    }

    /**
     * Returns whether a response without a request id can belong to a request. On a reused connection it may be a late copy
     * of the response to an earlier request, so even its statement that nothing was executed cannot be trusted.
     */
    private canOmitRequestId(request: BackendRequest, response: BackendResponse): boolean {
        return this.requestCount === 1 && (request.requestId === "" || this.dialect.isNotRun(response.status, response.headers));
    }

    private fail(problem: string, excess?: ResponseExcess): void {
        this.isOpen = false;
        this.parser.discard();
        const { stream } = this;
        this.endStream();
        stream?.breakOff(problem);
        this.finish({
            kind: BackendResultKind.Broken,
            problem,
            excess,
            wasReused: this.requestCount > 1,
            hadResponseBytes: this.parser.responseBytes > 0,
            afterMs: nowMs() - this.sentAtMs,
        });
    }

    /** Ends the hold of a response on this connection, which may be used again before its reader has taken the rest. */
    private endStream(): void {
        clearTimeout(this.streamTimer);
        clearTimeout(this.streamEndTimer);
        this.streamTimer = undefined;
        if (this.stream !== undefined) {
            this.stream = undefined;
            this.socket.resume();
        }
    }

    private finish(result: BackendResult): void {
        const { resolveExchange } = this;
        this.request = undefined;
        this.resolveExchange = undefined;
        resolveExchange?.(result);
    }
}
