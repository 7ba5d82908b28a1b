import { HTTPParser } from "http-parser-js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { findFieldProblem } from "../../http/findFieldProblem/index.js";
import { findFramingProblem } from "../../http/findFramingProblem/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { isBodiless } from "../../http/isBodiless/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { ParsedResponse } from "../ParsedResponse.js";
import { ResponseLimits } from "../ResponseLimits.js";

const MIN_STATUS = 100;
const STATUS_SWITCHING_PROTOCOLS = 101;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const MAJOR_VERSION = 1;
const CHUNK_SIZE_LINE = /^[0-9a-fA-F]{1,8}(;.*)?$/;
/** Bytes of framing allowed for each byte of a chunked body; a chunk of one byte has 5 bytes of framing. */
const FRAMING_FACTOR = 8;
const FIELD_LINE = /^([^: \t]+)[ \t]*:/;
const CONTINUATION_LINE = /^[ \t]/;

// The default, ASCII, would clear the highest bit of each byte and so turn UTF-8 into control characters.
HTTPParser.encoding = "latin1";

/** What the library passes on when a header section is complete. */
interface ResponseHead {
    readonly versionMajor: number;
    readonly versionMinor: number;
    readonly statusCode: number;
    readonly headers: readonly string[];
    readonly shouldKeepAlive: boolean;
}

/** Methods and state of the library that its types leave out. */
interface ParserInternals {
    readonly state: string;
    readonly offset: number;
    readonly end: number;
    consumeLine(): string | undefined;
    parseHeader(line: string, headers: string[]): void;
}

/**
 * Incremental parser for the responses on one connection to a backend server. Enforces limits on their size, and rejects
 * responses that cannot be forwarded or whose framing the library would guess.
 */
export class ResponseParser {
    private readonly parser = new HTTPParser(HTTPParser.RESPONSE);
    private status = 0;
    private headers: HeaderList = [];
    private body: Buffer[] = [];
    private keepsAlive = false;
    private method = "";
    private receivedBytes = 0;
    private bodyBytes = 0;
    private bufferedBytes = 0;

    private constructor(
        private readonly onResponse: (response: ParsedResponse) => void,
        private readonly limits: ResponseLimits,
        private readonly budget: ByteBudget,
    ) {
        this.parser[HTTPParser.kOnHeadersComplete] = (head: ResponseHead): number => this.handleHead(head);
        this.parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
            this.bodyBytes += length;
            this.reserve(length);
            this.body.push(chunk.subarray(offset, offset + length));
        };
        this.parser[HTTPParser.kOnMessageComplete] = (): void => this.complete();
        this.rejectMalformedLines();
    }

    /**
     * Creates the parser of a new connection.
     *
     * @param onResponse - Called with each complete response.
     * @param limits - Limits on what is read for one request.
     * @param budget - Limit on the bytes of incomplete responses that all connections buffer together.
     */
    static create(onResponse: (response: ParsedResponse) => void, limits: ResponseLimits, budget: ByteBudget): ResponseParser {
        return new ResponseParser(onResponse, limits, budget);
    }

    /** Number of bytes received since the last call of `expectResponse`. */
    get responseBytes(): number {
        return this.receivedBytes;
    }

    /** Prepares the parser for the response to a request. */
    expectResponse(method: string): void {
        this.method = method;
        this.receivedBytes = 0;
        this.bodyBytes = 0;
    }

    /**
     * Parses bytes received on the connection.
     *
     * @throws Error if they are not valid HTTP, or exceed the limits.
     */
    parse(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        const result: number | Error = this.parser.execute(chunk);
        if (result instanceof Error) {
            throw result;
        }
        this.checkSize();
    }

    /**
     * Handles the end of the connection, which ends a response without a length.
     *
     * @throws Error if the response is incomplete.
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
        if (this.receivedBytes - this.bodyBytes > this.limits.maxHeadBytes + FRAMING_FACTOR * this.bodyBytes) {
            throw new Error(`more than ${this.limits.maxHeadBytes} bytes of head`);
        }
    }

    /** Returns 1 if the library must not read a body after a header section, and 0 otherwise. */
    private handleHead(head: ResponseHead): number {
        this.status = head.statusCode;
        this.headers = pairHeaders(head.headers);
        this.keepsAlive = head.shouldKeepAlive;
        this.body = [];
        const hasBody = this.status >= MIN_FINAL_STATUS && !isBodiless(this.method, this.status);
        this.checkHead(head);
        if (hasBody) {
            this.checkDeclaredLength();
        }
        return hasBody ? 0 : 1;
    }

    private checkHead({ versionMajor, versionMinor, statusCode }: ResponseHead): void {
        if (versionMajor !== MAJOR_VERSION) {
            throw new Error(`unsupported version HTTP/${versionMajor}.${versionMinor}`);
        }
        if (statusCode < MIN_STATUS || statusCode > MAX_STATUS || statusCode === STATUS_SWITCHING_PROTOCOLS) {
            throw new Error(`unexpected status code ${statusCode}`);
        }
        const problem = findFieldProblem(this.headers) ?? findFramingProblem(this.headers, versionMinor > 0);
        if (problem !== undefined) {
            throw new Error(problem);
        }
    }

    /** Rejects a response whose `Content-Length` exceeds the limit before any of its body is read. */
    private checkDeclaredLength(): void {
        const declaredBytes = Number(findHeader(this.headers, "content-length") ?? 0);
        if (declaredBytes > this.limits.maxBodyBytes) {
            throw new Error(`the declared body length of ${declaredBytes} bytes exceeds the limit`);
        }
    }

    private complete(): void {
        if (this.status >= MIN_FINAL_STATUS) {
            const { status, headers } = this;
            this.onResponse({ status, headers, body: Buffer.concat(this.body), keepsAlive: this.keepsAlive && !this.hasTrailingBytes });
        }
        this.discard();
    }

    /** Discards the buffered part of an incomplete response. Call it when the connection ends. */
    discard(): void {
        this.body = [];
        this.budget.release(this.bufferedBytes);
        this.bufferedBytes = 0;
    }

    private reserve(bytes: number): void {
        if (!this.budget.tryAcquire(bytes)) {
            throw new Error(`response buffer is full: ${this.budget.heldBytes} bytes of other responses are held`);
        }
        this.bufferedBytes += bytes;
    }

    /** True if bytes that belong to no request follow the response that was just completed. */
    private get hasTrailingBytes(): boolean {
        const { offset, end } = this.internals;
        return offset < end;
    }

    private get internals(): ParserInternals {
        return this.parser as unknown as ParserInternals;
    }

    /**
     * Makes malformed lines an error. The library would take a malformed chunk size for that of the last chunk, and would
     * skip a malformed line of a header section, which may be the one that frames the body.
     */
    private rejectMalformedLines(): void {
        const { internals } = this;
        const consumeLine = internals.consumeLine.bind(internals);
        const parseHeader = internals.parseHeader.bind(internals);
        internals.consumeLine = (): string | undefined => {
            const line = consumeLine();
            if (internals.state === "BODY_CHUNKHEAD" && line !== undefined && !CHUNK_SIZE_LINE.test(line.trim())) {
                throw new Error("malformed chunk size");
            }
            return line;
        };
        internals.parseHeader = (line: string, headers: string[]): void => {
            const isContinuation = CONTINUATION_LINE.test(line) && headers.length > 0;
            if (!isContinuation && !FIELD_LINE.test(line)) {
                throw new Error("malformed line in a header section");
            }
            // RFC 9112, section 5.1: a proxy removes whitespace between the name and the colon.
            parseHeader(isContinuation ? line : line.replace(FIELD_LINE, "$1:"), headers);
        };
    }
}
