import type { IncomingMessage } from "node:http";

/** Memory that a header field takes besides its characters, in bytes: two strings, and their places in a list that grows. */
const FIELD_OVERHEAD_BYTES = 96;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Ends of a header section, and of a chunked body. */
const SECTION_ENDS = ["\n\r\n", "\n\n"];
/** Bytes of an end of a section that the next read may complete. */
const MAX_PARTIAL_END_BYTES = 2;

/** Body of a request whose header section has been read. */
interface Body {
    readonly request: IncomingMessage;
    /** Bytes that follow, or undefined if the body is chunked. */
    remainingBytes: number | undefined;
}

/**
 * Follows the bytes that one connection sends to an HTTP server, in order to tell how many belong to a header section that is
 * not finished. The parser of Node.js keeps its fields, and reports only finished ones.
 */
export class HeaderProgress {
    /** Requests whose header section was finished since the last read. */
    private finished: IncomingMessage[] = [];
    private body: Body | undefined;
    private sectionBytes = 0;
    private sectionFields = 0;
    /** Last bytes of the unfinished section. */
    private tail = "";

    private constructor() {}

    /** Creates the state of a new connection. */
    static create(): HeaderProgress {
        return new HeaderProgress();
    }

    /** Estimate of the memory that the unfinished header section takes; 0 if there is none. */
    get heldBytes(): number {
        return this.sectionBytes + FIELD_OVERHEAD_BYTES * this.sectionFields;
    }

    /** Records a request whose header section is finished. Call it while the read that finished it is parsed. */
    recordRequest(request: IncomingMessage): void {
        this.finished.push(request);
    }

    /**
     * Handles bytes that the parser has read.
     *
     * @returns True if they finished a header section.
     */
    handleRead(chunk: Buffer): boolean {
        const hasFinished = this.finished.length > 0;
        let offset = 0;
        while (offset < chunk.length) {
            if (this.body !== undefined) {
                offset = this.skipBody(this.body, chunk, offset);
            }
            else if (this.finished.length > 0) {
                offset = this.finishSection(chunk, offset);
            }
            else {
                this.readSection(chunk, offset);
                offset = chunk.length;
            }
        }
        this.finished = [];
        return hasFinished;
    }

    private finishSection(chunk: Buffer, offset: number): number {
        const start = this.sectionBytes === 0 ? skipLineEnds(chunk, offset) : offset;
        const end = this.findSectionEnd(chunk, start);
        const [request] = this.finished.splice(0, 1);
        this.clearSection();
        if (request !== undefined) {
            this.body = { request, remainingBytes: declaredLength(request) };
        }
        return end ?? chunk.length;
    }

    /** Finds the position after the end of the section that began before, of which the last bytes may be in the tail. */
    private findSectionEnd(chunk: Buffer, start: number): number | undefined {
        const joint = this.tail + chunk.toString("latin1", start, start + MAX_PARTIAL_END_BYTES);
        const ends = SECTION_ENDS.map((text) => joint.indexOf(text) < 0 ? -1 : joint.indexOf(text) + text.length - this.tail.length)
            .filter((length) => length > 0)
            .map((length) => start + length);
        if (ends.length > 0) {
            return Math.min(...ends);
        }
        const found = SECTION_ENDS.map((text) => ({ text, index: chunk.indexOf(text, start, "latin1") })).filter(({ index }) => index >= 0);
        return found.length === 0 ? undefined : Math.min(...found.map(({ text, index }) => index + text.length));
    }

    private skipBody(body: Body, chunk: Buffer, offset: number): number {
        if (body.remainingBytes !== undefined) {
            const skipped = Math.min(body.remainingBytes, chunk.length - offset);
            body.remainingBytes -= skipped;
            if (body.remainingBytes === 0) {
                this.body = undefined;
            }
            return offset + skipped;
        }
        const last = this.finished.at(-1);
        if (last === undefined && !body.request.complete) {
            return chunk.length;
        }
        return this.skipChunkedBody(last, chunk, offset);
    }

    /**
     * Skips a chunked body that ends in a read. What follows the last empty line there is an unfinished header section, since such
     * a section has none; it may be taken for more if a pipelined request with a length follows.
     */
    private skipChunkedBody(last: IncomingMessage | undefined, chunk: Buffer, offset: number): number {
        this.finished = [];
        this.body = last?.complete === false ? { request: last, remainingBytes: undefined } : undefined;
        const ends = SECTION_ENDS.map((text) => chunk.lastIndexOf(text, undefined, "latin1") + text.length);
        const end = Math.max(...ends.filter((position, index) => position > Math.max(offset, (SECTION_ENDS[index] ?? "").length - 1)), offset);
        return this.body === undefined ? end : chunk.length;
    }

    private readSection(chunk: Buffer, offset: number): void {
        const start = this.sectionBytes === 0 ? skipLineEnds(chunk, offset) : offset;
        for (let position = start; position < chunk.length; position += 1) {
            this.sectionFields += chunk[position] === LINE_FEED ? 1 : 0;
        }
        this.sectionBytes += chunk.length - start;
        this.tail = (this.tail + chunk.toString("latin1", Math.max(start, chunk.length - MAX_PARTIAL_END_BYTES))).slice(-MAX_PARTIAL_END_BYTES);
    }

    private clearSection(): void {
        this.sectionBytes = 0;
        this.sectionFields = 0;
        this.tail = "";
    }
}

/** Skips line ends before a request, which the parser ignores. */
function skipLineEnds(chunk: Buffer, offset: number): number {
    let position = offset;
    while (chunk[position] === LINE_FEED || chunk[position] === CARRIAGE_RETURN) {
        position += 1;
    }
    return position;
}

/** Length of the body of a request, or undefined if it is chunked. */
function declaredLength({ headers }: IncomingMessage): number | undefined {
    return headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : undefined;
}
