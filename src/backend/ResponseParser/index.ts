import { HTTPParser } from "http-parser-js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { BodyBuffer } from "../../http/BodyBuffer/index.js";
import { findFieldProblem } from "../../http/findFieldProblem/index.js";
import { findFramingProblem } from "../../http/findFramingProblem/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { isBodiless } from "../../http/isBodiless/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { quoteExcerpt } from "../../model/quoteExcerpt/index.js";
import { ParsedResponse } from "../ParsedResponse.js";
import { ResponseLimitError } from "../ResponseLimitError.js";
import { ResponseLimitKind } from "../ResponseLimitKind.js";
import { ResponseLimits } from "../ResponseLimits.js";
import { ResponseMeter } from "../ResponseMeter/index.js";

const STATUS_SWITCHING_PROTOCOLS = 101;
const MIN_FINAL_STATUS = 200;
const MAJOR_VERSION = 1;
/** A status line up to the end of its status: three digits from 100 to 599. The library takes the first three of any number of digits. */
const STATUS_LINE = /^HTTP\/\d\.\d [1-5]\d\d(?: |$)/;
/** A valid status line, which completes an incomplete one in order to check it. */
const STATUS_LINE_SAMPLE = "HTTP/1.1 200 ";
const CHUNK_SIZE_LINE = /^[0-9a-fA-F]{1,8}(;.*)?$/;
/** Memory that a header field takes beside its characters, in bytes. */
const FIELD_OVERHEAD_BYTES = 128;
/** Number of reads after which the parts of an incomplete line are joined: each part takes 32 bytes besides its characters. */
const MAX_LINE_PARTS = 256;
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
    /** Beginning of a line whose end has not been received. */
    line: string;
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
    private readonly body = BodyBuffer.create();
    private readonly meter: ResponseMeter;
    private keepsAlive = false;
    private method = "";
    private bufferedBytes = 0;
    private lineParts = 0;

    private constructor(
        private readonly onResponse: (response: ParsedResponse) => void,
        limits: ResponseLimits,
        private readonly budget: ByteBudget,
    ) {
        this.meter = ResponseMeter.create(limits);
        this.parser[HTTPParser.kOnHeadersComplete] = (head: ResponseHead): number => this.handleHead(head);
        this.parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
            this.meter.countBody(length);
            this.reserve(length);
            this.body.add(chunk.subarray(offset, offset + length));
        };
        this.parser[HTTPParser.kOnMessageComplete] = (): void => this.complete();
        this.checkLines();
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
        return this.meter.receivedBytes;
    }

    /** Prepares the parser for the response to a request. */
    expectResponse(method: string): void {
        this.method = method;
        this.meter.reset();
    }

    /**
     * Parses bytes received on the connection.
     *
     * @throws ResponseLimitError if they exceed the limits.
     * @throws Error if they are not valid HTTP.
     */
    parse(chunk: Buffer): void {
        this.meter.countRead(chunk.length);
        const result: number | Error = this.parser.execute(chunk);
        if (result instanceof Error) {
            throw result;
        }
        this.meter.checkHead();
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

    /** Returns 1 if the library must not read a body after a header section, and 0 otherwise. */
    private handleHead(head: ResponseHead): number {
        this.status = head.statusCode;
        this.headers = pairHeaders(head.headers);
        this.keepsAlive = head.shouldKeepAlive;
        const hasBody = this.status >= MIN_FINAL_STATUS && !isBodiless(this.method, this.status);
        this.checkHead(head);
        if (hasBody) {
            // A length beyond the limit is refused before any of the body is read.
            this.meter.checkLength(Number(findHeader(this.headers, "content-length") ?? 0));
        }
        return hasBody ? 0 : 1;
    }

    private checkHead({ versionMajor, versionMinor, statusCode }: ResponseHead): void {
        if (versionMajor !== MAJOR_VERSION) {
            throw new Error(`unsupported version HTTP/${versionMajor}.${versionMinor}`);
        }
        if (statusCode === STATUS_SWITCHING_PROTOCOLS) {
            throw new Error(`unexpected status code ${statusCode}`);
        }
        const problem = findFieldProblem(this.headers) ?? findFramingProblem(this.headers, versionMinor > 0);
        if (problem !== undefined) {
            throw new Error(problem);
        }
    }

    private complete(): void {
        if (this.status >= MIN_FINAL_STATUS) {
            const { status, headers } = this;
            this.onResponse({ status, headers, body: this.body.take(), keepsAlive: this.keepsAlive && !this.hasTrailingBytes });
        }
        this.discard();
    }

    /** Discards the buffered part of an incomplete response. Call it when the connection ends. */
    discard(): void {
        this.body.clear();
        this.budget.release(this.bufferedBytes);
        this.bufferedBytes = 0;
    }

    private reserve(bytes: number): void {
        if (!this.budget.tryAcquire(bytes)) {
            const { heldBytes, limitBytes } = this.budget;
            const excess = { kind: ResponseLimitKind.Buffers, held: heldBytes + bytes, limit: limitBytes };
            throw ResponseLimitError.create(excess, `response buffer is full: ${heldBytes} bytes of responses are held`);
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
     * Limits lines, and makes malformed ones an error. The library would take a malformed chunk size for that of the last chunk,
     * the status 200200 for 200, and 1000 for an interim response, after which another one is waited for. It would also skip a
     * malformed line of a header section, which may be the one that frames the body.
     */
    private checkLines(): void {
        const { internals } = this;
        const consumeLine = internals.consumeLine.bind(internals);
        const parseHeader = internals.parseHeader.bind(internals);
        internals.consumeLine = (): string | undefined => {
            const line = consumeLine();
            if (internals.state === "RESPONSE_LINE") {
                checkStatusLine(line, internals.line);
            }
            if (line === undefined) {
                this.joinLineParts();
            }
            else if (internals.state === "BODY_CHUNKHEAD") {
                this.meter.countChunk();
                if (!CHUNK_SIZE_LINE.test(line.trim())) {
                    throw new Error("malformed chunk size");
                }
            }
            return line;
        };
        internals.parseHeader = (line: string, headers: string[]): void => {
            this.meter.countField();
            this.reserve(line.length + FIELD_OVERHEAD_BYTES);
            const isContinuation = CONTINUATION_LINE.test(line) && headers.length > 0;
            if (!isContinuation && !FIELD_LINE.test(line)) {
                throw new Error("malformed line in a header section");
            }
            // RFC 9112, section 5.1: a proxy removes whitespace between the name and the colon.
            parseHeader(isContinuation ? line : line.replace(FIELD_LINE, "$1:"), headers);
        };
    }

    /** Joins the parts of an incomplete line, which the library appends to each other with each read. */
    private joinLineParts(): void {
        this.lineParts += 1;
        if (this.lineParts % MAX_LINE_PARTS === 0) {
            const { internals } = this;
            internals.line = Buffer.from(internals.line, "latin1").toString("latin1");
        }
    }
}

/** Throws an error if a line, or the received part of an incomplete one, cannot be a status line. */
function checkStatusLine(line: string | undefined, part: string): void {
    const completed = line ?? part.replace(/\r$/, "") + STATUS_LINE_SAMPLE.slice(part.length);
    if (!STATUS_LINE.test(completed)) {
        throw new Error(`malformed status line ${quoteExcerpt(line ?? part)}`);
    }
}
