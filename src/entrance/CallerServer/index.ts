import { once } from "node:events";
import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { nowMs } from "../../clock/nowMs/index.js";
import { LimitsItem } from "../../decisions/items/LimitsItem.js";
import { findHeader } from "../../http/findHeader/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { withoutConnectionHeaders } from "../../http/withoutConnectionHeaders/index.js";
import { FleetError } from "../../model/FleetError.js";
import { HeaderList } from "../../model/HeaderList.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { CallerAnswer } from "../CallerAnswer.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";

/** Limits before the configuration sets any. */
const DEFAULT_BODY_BYTES = 64 * 1_024 * 1_024;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEADER_MS = 3_000;
/** Largest header section that the server takes in at all; the configured limit is checked below it. */
const MAX_HEADER_BYTES = 128 * 1_024;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

interface Pending {
    readonly response: ServerResponse;
    isAnswered: boolean;
    gone: (() => void) | undefined;
}

/**
 * The HTTP/1.1 edge towards callers: reads requests whole, also pipelined ones, writes answers in the order of the
 * requests, and notices callers that leave.
 */
export class CallerServer {
    private readonly pending = new Map<Socket, Set<Pending>>();
    private limits: LimitsItem | undefined;
    private isStopping = false;

    private constructor(
        private readonly server: Server,
        private readonly dialect: CallerDialect,
        private readonly onRequest: (exchange: CallerExchange) => void,
    ) {
        server.requestTimeout = 0;
        server.headersTimeout = DEFAULT_HEADER_MS;
        server.keepAliveTimeout = DEFAULT_IDLE_MS;
        server.on("connection", (socket: Socket) => this.accept(socket));
        server.on("request", (request: IncomingMessage, response: ServerResponse) => void this.take(request, response));
    }

    /**
     * Starts to listen for callers.
     *
     * @param address - `host:port`.
     * @param dialect - How callers say what they want.
     * @param onRequest - Told of each request.
     * @throws FleetError if the address cannot be listened on.
     */
    static async create(address: string, dialect: CallerDialect, onRequest: (exchange: CallerExchange) => void): Promise<CallerServer> {
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
        return new CallerServer(server, dialect, onRequest);
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
                pending.gone?.();
            });
        });
    }

    private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { socket } = request;
        const arrivedAtMs = nowMs();
        const pending: Pending = { response, isAnswered: false, gone: undefined };
        this.pending.get(socket)?.add(pending);
        const headers = pairHeaders(request.rawHeaders);
        const terms = this.dialect.readTerms(headers);
        const answer = (given: CallerAnswer): void => this.answer(socket, pending, request, given);
        if (this.hasTooLargeHeaders(request)) {
            answer({ status: STATUS_HEADERS_TOO_LARGE, headers: this.dialect.ownAnswerHeaders(terms.requestId, undefined), body: Buffer.alloc(0) });
            return;
        }
        const body = await this.readBody(request);
        if (body === undefined) {
            if (!request.destroyed) {
                answer({ status: STATUS_BODY_TOO_LARGE, headers: this.dialect.ownAnswerHeaders(terms.requestId, undefined), body: Buffer.alloc(0) });
            }
            return;
        }
        if (pending.isAnswered) {
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

    /** Reads a body; undefined if it is too large or breaks off. */
    private async readBody(request: IncomingMessage): Promise<Buffer | undefined> {
        const maxBytes = this.limits?.maxBodyBytes ?? DEFAULT_BODY_BYTES;
        if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
            return undefined;
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        try {
            for await (const chunk of request as AsyncIterable<Buffer>) {
                bytes += chunk.length;
                if (bytes > maxBytes) {
                    return undefined;
                }
                chunks.push(chunk);
            }
        }
        catch {
            // The caller left while it sent the body: its connection's close event settles the request.
            return undefined;
        }
        return Buffer.concat(chunks);
    }

    private answer(socket: Socket, pending: Pending, request: IncomingMessage, answer: CallerAnswer): void {
        if (pending.isAnswered) {
            return;
        }
        pending.isAnswered = true;
        const { response } = pending;
        const waiting = this.pending.get(socket);
        const closes = this.isStopping && (waiting?.size ?? 0) <= 1;
        const done = (): void => void waiting?.delete(pending);
        response.once("finish", done);
        response.once("close", done);
        response.sendDate = false;
        response.shouldKeepAlive &&= !closes;
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
