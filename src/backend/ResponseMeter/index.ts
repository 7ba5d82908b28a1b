import { ResponseLimitError } from "../ResponseLimitError.js";
import { ResponseLimitKind } from "../ResponseLimitKind.js";
import { ResponseLimits } from "../ResponseLimits.js";

/** Framing of a chunk without extension in bytes: 8 digits and two line ends. */
const CHUNK_FRAMING_BYTES = 12;

/**
 * Counts what is read for one request: its bytes, and also the pieces that take memory or processor time whatever their size.
 * Each method throws a `ResponseLimitError` if a limit is exceeded.
 */
export class ResponseMeter {
    private maxBodyBytes = Number.POSITIVE_INFINITY;
    private readBytes = 0;
    private bodyBytes = 0;
    private chunkCount = 0;
    private fieldCount = 0;

    private constructor(private readonly limits: ResponseLimits) {}

    /** Creates a meter that has counted nothing. */
    static create(limits: ResponseLimits): ResponseMeter {
        return new ResponseMeter(limits);
    }

    /** Number of bytes counted by `countRead` since the last reset. */
    get receivedBytes(): number {
        return this.readBytes;
    }

    /**
     * Starts again for the next request.
     *
     * @param maxBodyBytes - Maximum size of its body, if that is less than the limit of all responses.
     */
    reset(maxBodyBytes = Number.POSITIVE_INFINITY): void {
        this.maxBodyBytes = maxBodyBytes;
        this.readBytes = 0;
        this.bodyBytes = 0;
        this.chunkCount = 0;
        this.fieldCount = 0;
    }

    /** Counts bytes that were read from the connection. */
    countRead(bytes: number): void {
        this.readBytes += bytes;
    }

    /** Counts bytes of a body. */
    countBody(bytes: number): void {
        this.bodyBytes += bytes;
        this.checkLength(this.bodyBytes);
    }

    /** Counts bytes of a body that is passed on while it is received. */
    countStreamed(bytes: number): void {
        this.bodyBytes += bytes;
        this.checkStreamedLength(this.bodyBytes);
    }

    /** Counts a chunk. */
    countChunk(): void {
        const { maxSmallChunks, minMeanChunkBytes } = this.limits;
        this.chunkCount += 1;
        const limit = maxSmallChunks + Math.floor(this.bodyBytes / minMeanChunkBytes);
        if (this.chunkCount > limit) {
            const excess = { kind: ResponseLimitKind.Chunks, held: this.chunkCount, limit };
            throw ResponseLimitError.create(excess, `more than ${limit} chunks for ${this.bodyBytes} bytes of body`);
        }
    }

    /** Counts a line of a header section or of trailers. */
    countField(): void {
        this.fieldCount += 1;
        const { maxFields } = this.limits;
        if (this.fieldCount > maxFields) {
            const excess = { kind: ResponseLimitKind.Fields, held: this.fieldCount, limit: maxFields };
            throw ResponseLimitError.create(excess, `more than ${maxFields} header fields`);
        }
    }

    /** Checks the length of a body, such as a declared one. */
    checkLength(bytes: number): void {
        checkBody(bytes, Math.min(this.maxBodyBytes, this.limits.maxBodyBytes));
    }

    /** Checks the length of a body that is passed on while it is received, such as a declared one. */
    checkStreamedLength(bytes: number): void {
        checkBody(bytes, this.limits.maxStreamedBytes ?? Number.POSITIVE_INFINITY);
    }

    /** Checks the bytes that belong to no body. Call it when all bytes that were read have been parsed. */
    checkHead(): void {
        const { maxHeadBytes } = this.limits;
        const headBytes = this.readBytes - this.bodyBytes - CHUNK_FRAMING_BYTES * this.chunkCount;
        if (headBytes > maxHeadBytes) {
            throw ResponseLimitError.create({ kind: ResponseLimitKind.Head, held: headBytes, limit: maxHeadBytes }, `more than ${maxHeadBytes} bytes of head`);
        }
    }
}

function checkBody(bytes: number, limit: number): void {
    if (bytes > limit) {
        throw ResponseLimitError.create({ kind: ResponseLimitKind.Body, held: bytes, limit }, `more than ${limit} bytes of body`);
    }
}
