import { HTTPParser } from "http-parser-js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { findHeader } from "../../http/findHeader/index.js";
import { pairHeaders } from "../../http/pairHeaders/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { ParsedResponse } from "../ParsedResponse.js";
import { ResponseLimits } from "../ResponseLimits.js";

const MIN_FINAL_STATUS = 200;
const CHUNK_SIZE_LINE = /^[0-9a-fA-F]{1,8}(;.*)?$/;
/** Bytes of framing allowed for each byte of a chunked body; a chunk of one byte has 5 bytes of framing. */
const FRAMING_FACTOR = 8;

/** Incremental parser for the responses on one connection to a backend server. Enforces limits on their size. */
export class ResponseParser {
    private readonly parser = new HTTPParser(HTTPParser.RESPONSE);
    private status = 0;
    private headers: HeaderList = [];
    private body: Buffer[] = [];
    private keepsAlive = false;
    private isBodiless = false;
    private receivedBytes = 0;
    private bodyBytes = 0;
    private bufferedBytes = 0;

    private constructor(
        private readonly onResponse: (response: ParsedResponse) => void,
        private readonly limits: ResponseLimits,
        private readonly budget: ByteBudget,
    ) {
        this.parser[HTTPParser.kOnHeadersComplete] = (info): number => {
            this.status = info.statusCode;
            this.headers = pairHeaders(info.headers);
            this.keepsAlive = info.shouldKeepAlive;
            this.body = [];
            this.checkDeclaredLength();
            return this.isBodiless ? 1 : 0;
        };
        this.parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
            this.bodyBytes += length;
            this.reserve(length);
            this.body.push(chunk.subarray(offset, offset + length));
        };
        this.parser[HTTPParser.kOnMessageComplete] = (): void => this.complete();
        this.rejectMalformedChunkSizes();
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
        this.isBodiless = method === "HEAD";
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

    /** Rejects a response whose `Content-Length` exceeds the limit before any of its body is read. */
    private checkDeclaredLength(): void {
        const declaredBytes = Number(findHeader(this.headers, "content-length") ?? 0);
        if (!this.isBodiless && declaredBytes > this.limits.maxBodyBytes) {
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
        const { offset, end } = this.parser as unknown as { offset: number; end: number };
        return offset < end;
    }

    /** Makes a malformed chunk size an error. The library would take it for the last chunk, and the response for complete. */
    private rejectMalformedChunkSizes(): void {
        const parser = this.parser as unknown as { consumeLine(): string | undefined; state: string };
        const consumeLine = parser.consumeLine.bind(parser);
        parser.consumeLine = (): string | undefined => {
            const line = consumeLine();
            if (parser.state === "BODY_CHUNKHEAD" && line !== undefined && !CHUNK_SIZE_LINE.test(line.trim())) {
                throw new Error("malformed chunk size");
            }
            return line;
        };
    }
}
