import { HTTPParser } from "http-parser-js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { AnswerLimits } from "../AnswerLimits.js";
import { ParsedAnswer } from "../ParsedAnswer.js";

const INTERIM_STATUSES_END = 200;
const CHUNK_HEAD = /^[0-9a-fA-F]{1,8}(;.*)?$/;
/** Bytes of framing allowed for each byte of a chunked body: a chunk of one byte takes five besides. */
const FRAMING_FACTOR = 8;

/** Parses the answers on one connection to a backend server, in the order in which they come. */
export class AnswerParser {
    private readonly parser = new HTTPParser(HTTPParser.RESPONSE);
    private status = 0;
    private headers: HeaderList = [];
    private body: Buffer[] = [];
    private keepsAlive = false;
    private isBodiless = false;
    private bytes = 0;
    private bodyBytes = 0;
    private heldBytes = 0;

    private constructor(
        private readonly onAnswer: (answer: ParsedAnswer) => void,
        private readonly limits: AnswerLimits,
        private readonly budget: ByteBudget,
    ) {
        this.parser[HTTPParser.kOnHeadersComplete] = (info): number => {
            this.status = info.statusCode;
            this.headers = pairHeaders(info.headers);
            this.keepsAlive = info.shouldKeepAlive;
            this.body = [];
            this.checkStatedLength();
            return this.isBodiless ? 1 : 0;
        };
        this.parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
            this.bodyBytes += length;
            this.hold(length);
            this.body.push(chunk.subarray(offset, offset + length));
        };
        this.parser[HTTPParser.kOnMessageComplete] = (): void => this.complete();
        this.checkChunkHeads();
    }

    /**
     * Creates the parser of a new connection.
     *
     * @param onAnswer - Told of each answer that is whole.
     * @param limits - Bounds on what is read for one request.
     * @param budget - Bytes of unfinished answers that all connections may hold together.
     */
    static create(onAnswer: (answer: ParsedAnswer) => void, limits: AnswerLimits, budget: ByteBudget): AnswerParser {
        return new AnswerParser(onAnswer, limits, budget);
    }

    /** Bytes taken since the last call of `expect`. */
    get bytesSinceExpected(): number {
        return this.bytes;
    }

    /** Prepares for the answer to a request. */
    expect(method: string): void {
        this.isBodiless = method === "HEAD";
        this.bytes = 0;
        this.bodyBytes = 0;
    }

    /**
     * Takes bytes of the connection.
     *
     * @throws Error if they are no answer, or more than the limits allow.
     */
    take(chunk: Buffer): void {
        this.bytes += chunk.length;
        const result: number | Error = this.parser.execute(chunk);
        if (result instanceof Error) {
            throw result;
        }
        this.checkSize();
    }

    /**
     * Takes the end of the connection, which ends an answer without a length.
     *
     * @throws Error if an answer was not whole.
     */
    end(): void {
        const result = this.parser.finish() as Error | undefined;
        if (result instanceof Error) {
            throw result;
        }
    }

    private checkSize(): void {
        if (this.bodyBytes > this.limits.maxBodyBytes) {
            throw new Error(`more than ${this.limits.maxBodyBytes} bytes of body`);
        }
        if (this.bytes - this.bodyBytes > this.limits.maxHeadBytes + FRAMING_FACTOR * this.bodyBytes) {
            throw new Error(`more than ${this.limits.maxHeadBytes} bytes of head`);
        }
    }

    /** An answer that says itself that it is too large is given up before any of it is read. */
    private checkStatedLength(): void {
        const statedBytes = Number(findHeader(this.headers, "content-length") ?? 0);
        if (!this.isBodiless && statedBytes > this.limits.maxBodyBytes) {
            throw new Error(`a body of ${statedBytes} bytes`);
        }
    }

    private complete(): void {
        if (this.status >= INTERIM_STATUSES_END) {
            const { status, headers } = this;
            this.onAnswer({ status, headers, body: Buffer.concat(this.body), keepsAlive: this.keepsAlive && !this.hasMore });
        }
        this.drop();
    }

    /** Drops what is held of an unfinished answer; to be called when the connection ends. */
    drop(): void {
        this.body = [];
        this.budget.release(this.heldBytes);
        this.heldBytes = 0;
    }

    private hold(bytes: number): void {
        if (!this.budget.tryAcquire(bytes)) {
            throw new Error(`${this.budget.heldBytes} bytes of other answers are held`);
        }
        this.heldBytes += bytes;
    }

    /** True if bytes follow the answer that was completed last; they belong to no request. */
    private get hasMore(): boolean {
        const { offset, end } = this.parser as unknown as { offset: number; end: number };
        return offset < end;
    }

    /** The library takes a malformed chunk size for the last chunk; it has to break the answer instead. */
    private checkChunkHeads(): void {
        const parser = this.parser as unknown as { consumeLine(): string | undefined; state: string };
        const consumeLine = parser.consumeLine.bind(parser);
        parser.consumeLine = (): string | undefined => {
            const line = consumeLine();
            if (parser.state === "BODY_CHUNKHEAD" && line !== undefined && !CHUNK_HEAD.test(line.trim())) {
                throw new Error("malformed chunk size");
            }
            return line;
        };
    }
}
