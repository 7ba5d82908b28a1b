import { once } from "node:events";
import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { nowMs } from "../../clock/nowMs/index.js";
import { LimitsItem } from "../../decisions/items/LimitsItem.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { withoutConnectionHeaders } from "../../http/withoutConnectionHeaders/index.js";
import { assertNever } from "../../model/assertNever/index.js";
import { FleetError } from "../../model/FleetError.js";
import { HeaderList } from "../../model/HeaderList.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { BodyLimits } from "../BodyLimits.js";
import { BodyResultKind } from "../BodyResultKind.js";
import { CallerAnswer } from "../CallerAnswer.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";
import { readBody } from "../readBody/index.js";

/** Limits before the configuration sets any. */
const DEFAULT_BODY_BYTES = 64 * 1_024 * 1_024;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEADER_MS = 3_000;
/** Largest header section that the server takes in at all; the configured limit is checked below it. */
const MAX_HEADER_BYTES = 128 * 1_024;
/** Bytes of bodies that are held at the same time; each is copied once on its way, in a process of a few hundred megabytes. */
const MAX_HELD_BODY_BYTES = 32 * 1_024 * 1_024;
/** Time after which a caller is told to return for whose body there was no room, in ms; about the time of a request. */
const NO_ROOM_RETRY_AFTER_MS = 1_000;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STATUS_UNAVAILABLE = 503;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

interface Pending {
    readonly response: ServerResponse;
    isAnswered: boolean;
    /** Bytes of its body that are held. */
    bodyBytes: number;
    gone: (() => void) | undefined;
}

/**
 * The HTTP/1.1 edge towards callers: reads requests whole, also pipelined ones, writes answers in the order of the
 * requests, and notices callers that leave.
 */
export class CallerServer {
    private readonly pending = new Map<Socket, Set<Pending>>();
    private limits: LimitsItem | undefined;
    private readonly bodies = ByteBudget.create(MAX_HELD_BODY_BYTES);
    private isStopping = false;

    private constructor(
        private readonly server: Server,
        private readonly dialect: CallerDialect,
        private readonly onRequest: (exchange: CallerExchange) => void,
        onError: (error: Error) => void,
    ) {
        server.requestTimeout = 0;
        server.headersTimeout = DEFAULT_HEADER_MS;
        server.keepAliveTimeout = DEFAULT_IDLE_MS;
        server.on("connection", (socket: Socket) => this.accept(socket));
        server.on("request", (request: IncomingMessage, response: ServerResponse) => {
            this.take(request, response).catch((thrown: unknown) => {
                onError(toError(thrown));
                request.destroy();
            });
        });
    }

    /**
     * Starts to listen for callers.
     *
     * @param address - `host:port`.
     * @param dialect - How callers say what they want.
     * @param onRequest - Told of each request.
     * @param onError - Told of an unexpected error, which ends the connection of its request only.
     * @throws FleetError if the address cannot be listened on.
     */
    static async create(
        address: string,
        dialect: CallerDialect,
        onRequest: (exchange: CallerExchange) => void,
        onError: (error: Error) => void,
    ): Promise<CallerServer> {
        const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, connectionsCheckingInterval: 1_000 });
        const [host, port] = address.split(":");
        server.listen(Number(port), host);
        try {
            await once(server, "listening");
        }
        catch (thrown) {
            const cause = toError(thrown);
            throw FleetError.create({ step: Step.Listen, peer: address, cause }, cause.message);
        }
        return new CallerServer(server, dialect, onRequest, onError);
    }

    /** Requests that have no answer yet. */
    get openCount(): number {
        return [...this.pending.values()].reduce((sum, pending) => sum + pending.size, 0);
    }

    /** Takes the limits of the configuration. */
    setLimits(limits: LimitsItem | undefined): void {
        this.limits = limits;
        this.server.keepAliveTimeout = limits?.idleTimeoutMs ?? DEFAULT_IDLE_MS;
        this.server.headersTimeout = limits?.headerTimeoutMs ?? DEFAULT_HEADER_MS;
    }

    /** Ends each connection with its next answer. */
    startStopping(): void {
        this.isStopping = true;
    }

    /** Takes no new connections, and closes those that are idle. */
    stopListening(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    /** Closes all connections at once. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private accept(socket: Socket): void {
        this.pending.set(socket, new Set());
        socket.once("close", () => {
            const left = this.pending.get(socket);
            this.pending.delete(socket);
            left?.forEach((pending) => {
                pending.isAnswered = true;
                this.releaseBody(pending);
                pending.gone?.();
            });
        });
    }

    private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { socket } = request;
        const arrivedAtMs = nowMs();
        const pending: Pending = { response, isAnswered: false, bodyBytes: 0, gone: undefined };
        this.pending.get(socket)?.add(pending);
        const headers = pairHeaders(request.rawHeaders);
        const terms = this.dialect.readTerms(headers);
        const answer = (given: CallerAnswer): void => this.answer(socket, pending, request, given);
        if (this.hasTooLargeHeaders(request)) {
            answer({ status: STATUS_HEADERS_TOO_LARGE, headers: this.dialect.ownAnswerHeaders(terms.requestId, undefined), body: Buffer.alloc(0) });
            return;
        }
        const result = await readBody(request, this.bodyLimits, this.bodies);
        if (result.kind !== BodyResultKind.Whole) {
            this.answerWithoutBody(result.kind, terms.requestId, answer);
            return;
        }
        const { body } = result;
        pending.bodyBytes = body.length;
        if (pending.isAnswered) {
            this.releaseBody(pending);
            return;
        }
        const hasBody = request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
        this.onRequest({
            request: {
                method: request.method ?? "GET",
                path: request.url ?? "/",
                host: findHeader(headers, "host") ?? "",
                headers: this.dialect.forwardedHeaders(withoutConnectionHeaders(headers)),
                body,
                hasBody,
                arrivedAtMs,
                ...terms,
            },
            answer,
            onGone: (listener) => {
                pending.gone = listener;
            },
        });
    }

    private hasTooLargeHeaders(request: IncomingMessage): boolean {
        const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? "").length);
        return bytes > (this.limits?.maxHeaderBytes ?? MAX_HEADER_BYTES);
    }

    private get bodyLimits(): BodyLimits {
        return { maxBytes: this.limits?.maxBodyBytes ?? DEFAULT_BODY_BYTES, stallMs: this.limits?.idleTimeoutMs ?? DEFAULT_IDLE_MS };
    }

    /** Answers a request whose body was not read to its end, so that it has not run. */
    private answerWithoutBody(kind: Exclude<BodyResultKind, BodyResultKind.Whole>, requestId: string, answer: (given: CallerAnswer) => void): void {
        const refuse = (status: number, retryAfterMs: number | undefined): void =>
            answer({ status, headers: this.dialect.ownAnswerHeaders(requestId, retryAfterMs), body: Buffer.alloc(0) });
        switch (kind) {
            case BodyResultKind.TooLarge:
                refuse(STATUS_BODY_TOO_LARGE, undefined);
                return;
            case BodyResultKind.NoRoom:
                refuse(STATUS_UNAVAILABLE, NO_ROOM_RETRY_AFTER_MS);
                return;
            case BodyResultKind.Stalled:
                refuse(STATUS_REQUEST_TIMEOUT, undefined);
                return;
            case BodyResultKind.BrokenOff:
                // The close event of the caller's connection settles the request.
                return;
            default:
                assertNever(kind);
        }
    }

    private releaseBody(pending: Pending): void {
        this.bodies.release(pending.bodyBytes);
        pending.bodyBytes = 0;
    }

    private answer(socket: Socket, pending: Pending, request: IncomingMessage, answer: CallerAnswer): void {
        if (pending.isAnswered) {
            return;
        }
        pending.isAnswered = true;
        this.releaseBody(pending);
        const { response } = pending;
        const waiting = this.pending.get(socket);
        const closes = this.isStopping && (waiting?.size ?? 0) <= 1;
        const done = (): void => void waiting?.delete(pending);
        response.once("finish", done);
        response.once("close", done);
        response.sendDate = false;
        // What is left of a body that was not read to its end may never end.
        response.shouldKeepAlive &&= !closes && request.complete;
        response.writeHead(answer.status, framedHeaders(request.method ?? "GET", answer).flat());
        response.end(answer.body);
    }
}

function framedHeaders(method: string, answer: CallerAnswer): HeaderList {
    const headers = withoutConnectionHeaders(answer.headers);
    const isBodiless = answer.status === STATUS_NO_CONTENT || answer.status === STATUS_NOT_MODIFIED;
    if (isBodiless) {
        return headers;
    }
    const statedLength = method === "HEAD" ? findHeader(answer.headers, "content-length") : undefined;
    return [...headers, ["Content-Length", statedLength ?? String(answer.body.length)]];
}
