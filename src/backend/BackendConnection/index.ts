import { connect, Socket } from "node:net";
import { nowMs } from "../../clock/nowMs/index.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { toError } from "../../model/toError/index.js";
import { AnswerDialect } from "../AnswerDialect.js";
import { AnswerLimits } from "../AnswerLimits.js";
import { AnswerParser } from "../AnswerParser/index.js";
import { BackendCall } from "../BackendCall.js";
import { BackendResult } from "../BackendResult.js";
import { BackendResultKind } from "../BackendResultKind.js";
import { ParsedAnswer } from "../ParsedAnswer.js";
import { encodeCall } from "../encodeCall/index.js";

/** Longest idle time of a connection whose backend server does not state one, in ms. */
const DEFAULT_IDLE_MS = 4_000;
/** Time before the stated idle limit at which a connection is no longer used, in ms. */
const IDLE_MARGIN_MS = 1_000;
/** Bounds on what is read for one request; above the largest answers of the services served. */
const ANSWER_LIMITS: AnswerLimits = { maxBodyBytes: 16 * 1_024 * 1_024, maxHeadBytes: 64 * 1_024 };
const EMPTY = Buffer.alloc(0);
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/**
 * One connection to a backend server, for one request at a time. Answers are told apart by the id that they echo: what
 * belongs to an earlier request is passed over, and bytes after a complete answer end the connection's use.
 */
export class BackendConnection {
    private readonly parser: AnswerParser;
    private call: BackendCall | undefined;
    private settle: ((result: BackendResult) => void) | undefined;
    private idleLimitMs = DEFAULT_IDLE_MS;
    private requestCount = 0;
    private sentAtMs = 0;
    private isOpen = false;
    private isSpent = false;
    private answeredAtMs = nowMs();

    private constructor(private readonly socket: Socket, private readonly dialect: AnswerDialect, budget: ByteBudget) {
        this.parser = AnswerParser.create((answer) => this.take(answer), ANSWER_LIMITS, budget);
        socket.setNoDelay(true);
        socket.on("data", (chunk: Buffer) => this.receive(chunk));
        socket.on("end", () => this.receiveEnd());
        socket.on("error", (error) => this.fail(error.message));
        socket.on("close", () => this.fail("the connection was closed"));
    }

    /**
     * Opens a connection.
     *
     * @param host - IP address of the backend server.
     * @param port - Its port.
     * @param timeoutMs - Time to wait for the connection.
     * @param dialect - How answers tell what they belong to.
     * @param budget - Bytes of unfinished answers that all connections may hold together.
     * @throws Error if the connection cannot be opened in time.
     */
    static create(
        host: string,
        port: number,
        timeoutMs: number,
        dialect: AnswerDialect,
        budget: ByteBudget,
    ): Promise<BackendConnection> {
        return new Promise((resolve, reject) => {
            const socket = connect({ host, port, allowHalfOpen: true });
            const timer = setTimeout(() => socket.destroy(new Error(`no connection within ${timeoutMs} ms`)), timeoutMs);
            const refuse = (error: Error): void => {
                clearTimeout(timer);
                reject(error);
            };
            socket.once("error", refuse);
            socket.once("connect", () => {
                clearTimeout(timer);
                socket.off("error", refuse);
                const connection = new BackendConnection(socket, dialect, budget);
                connection.isOpen = true;
                resolve(connection);
            });
        });
    }

    /** Tells whether a request may be sent now, on a connection that was last used at most some time ago. */
    isUsable(atMs: number, maxIdleMs: number): boolean {
        const idleMs = atMs - this.answeredAtMs;
        return this.isOpen && !this.isSpent && this.call === undefined && idleMs <= Math.min(maxIdleMs, this.idleLimitMs);
    }

    /** True while a request is under way. */
    get isBusy(): boolean {
        return this.call !== undefined;
    }

    /** True once no request can be sent any more. */
    get isDone(): boolean {
        return this.call === undefined && (!this.isOpen || this.isSpent);
    }

    /** Time at which the last answer was complete, or the connection was opened. */
    get lastUsedAtMs(): number {
        return this.answeredAtMs;
    }

    /** Sends a request and waits for its answer. */
    exchange(call: BackendCall): Promise<BackendResult> {
        this.call = call;
        this.requestCount += 1;
        this.sentAtMs = nowMs();
        this.parser.expect(call.method);
        return new Promise((resolve) => {
            this.settle = resolve;
            this.socket.write(encodeCall(call));
        });
    }

    /** Closes the connection at once; a request on it is broken off. */
    close(): void {
        this.isOpen = false;
        this.socket.destroy();
        this.fail("the connection was closed by this side");
    }

    private receive(chunk: Buffer): void {
        if (this.call === undefined) {
            this.close();
            return;
        }
        try {
            this.parser.take(chunk);
        }
        catch (thrown) {
            this.isSpent = true;
            this.fail(`not an answer: ${toError(thrown).message}`);
            this.socket.destroy();
        }
    }

    /**
     * The kernel reports an orderly end also where a reset came right behind the last bytes. An empty write tells the
     * two apart: it fails on a connection that was reset, and sends nothing on one that has ended.
     */
    private receiveEnd(): void {
        this.isOpen = false;
        this.socket.write(EMPTY, (error) => {
            if (error instanceof Error) {
                this.fail(error.message);
            }
            else {
                this.endAnswer();
            }
            this.socket.destroy();
        });
    }

    private endAnswer(): void {
        try {
            this.parser.end();
        }
        catch (thrown) {
            this.fail(toError(thrown).message);
        }
    }

    private take(answer: ParsedAnswer): void {
        const { call } = this;
        const id = this.dialect.requestIdOf(answer.headers);
        if (call === undefined || (id !== undefined && id !== call.requestId)) {
            this.isSpent = true;
            return;
        }
        if (id === undefined && !this.mayLackId(call, answer)) {
            this.isSpent = true;
            this.fail("an answer without the id of its request");
            this.socket.destroy();
            return;
        }
        const statedS = Number(KEEP_ALIVE_TIMEOUT.exec(findHeader(answer.headers, "keep-alive") ?? "")?.[1]);
        this.idleLimitMs = Number.isFinite(statedS) ? Math.max(0, statedS * 1_000 - IDLE_MARGIN_MS) : DEFAULT_IDLE_MS;
        if (!answer.keepsAlive || this.socket.writableLength > 0) {
            this.isSpent = true;
        }
        this.answeredAtMs = nowMs();
        this.finish({ kind: BackendResultKind.Answered, answer: { status: answer.status, headers: answer.headers, body: answer.body } });
        if (this.isSpent) {
            this.socket.end();
        }
    }

    /**
     * On a connection in use again, an answer without an id may be a late copy of one to an earlier request: also its
     * word that nothing has run says nothing of this request then.
     */
    private mayLackId(call: BackendCall, answer: ParsedAnswer): boolean {
        return this.requestCount === 1 && (call.requestId === "" || this.dialect.saysNotRun(answer.status, answer.headers));
    }

    private fail(problem: string): void {
        this.isOpen = false;
        this.parser.drop();
        this.finish({
            kind: BackendResultKind.Broken,
            problem,
            wasReused: this.requestCount > 1,
            hadAnswerBytes: this.parser.bytesSinceExpected > 0,
            afterMs: nowMs() - this.sentAtMs,
        });
    }

    private finish(result: BackendResult): void {
        const { settle } = this;
        this.call = undefined;
        this.settle = undefined;
        settle?.(result);
    }
}
