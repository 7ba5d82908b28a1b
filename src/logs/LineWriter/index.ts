import { alignedDelayMs } from "../../clock/alignedDelayMs/index.js";
import { nowMs } from "../../clock/nowMs/index.js";

/** Maximum size of the buffered lines, in bytes; holds the output of a busy process for a few seconds. */
const MAX_BUFFERED_BYTES = 1_024 * 1_024;

/** Error code of a write to a full non-blocking pipe. */
const PIPE_FULL_CODE = "EAGAIN";
/** Delay before a write to a full pipe is retried, in ms. */
const PIPE_FULL_RETRY_MS = 50;

/** Writes bytes and calls back with the number of bytes written, as `fs.write` does. */
type Write = (data: Buffer, done: (error: Error | null, written: number) => void) => void;

/**
 * Writes lines without blocking on a slow reader. Lines that exceed the buffer are dropped; their number is logged as soon as
 * the buffer has room again.
 */
export class LineWriter {
    private bufferedLines: string[] = [];
    private bufferedBytes = 0;
    private droppedCount = 0;
    private isWriting = false;
    private isFlushScheduled = false;

    private constructor(
        private readonly write: Write,
        private readonly describeDropped: (count: number) => string,
        private readonly batchMs: number,
    ) {}

    /**
     * Creates a writer.
     *
     * @param write - Writes bytes; not called again before its callback has run.
     * @param describeDropped - Formats the line that reports the number of dropped lines.
     * @param batchMs - Time for which lines are collected into one write, in ms, since each write costs a wake-up; 0 writes immediately.
     */
    static create(write: Write, describeDropped: (count: number) => string, batchMs = 0): LineWriter {
        return new LineWriter(write, describeDropped, batchMs);
    }

    /** Adds a line, given without its line break. */
    add(line: string): void {
        const bytes = Buffer.byteLength(line) + 1;
        if (this.bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
            this.droppedCount += 1;
            return;
        }
        if (this.droppedCount > 0) {
            const count = this.droppedCount;
            this.droppedCount = 0;
            this.push(this.describeDropped(count));
        }
        this.push(line);
        if (this.batchMs === 0) {
            this.flush();
        }
        else if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            setTimeout(() => {
                this.isFlushScheduled = false;
                this.flush();
            }, alignedDelayMs(nowMs(), this.batchMs));
        }
    }

    private push(line: string): void {
        this.bufferedLines.push(line);
        this.bufferedBytes += Buffer.byteLength(line) + 1;
    }

    private flush(): void {
        if (this.isWriting || this.bufferedLines.length === 0) {
            return;
        }
        const data = Buffer.from(`${this.bufferedLines.join("\n")}\n`);
        this.bufferedLines = [];
        this.isWriting = true;
        this.writeAll(data);
    }

    private writeAll(data: Buffer): void {
        this.write(data, (error, written) => {
            if (error !== null && "code" in error && error.code === PIPE_FULL_CODE) {
                setTimeout(() => this.writeAll(data), PIPE_FULL_RETRY_MS);
                return;
            }
            // A write error cannot be logged, since the log itself has failed: the lines are discarded.
            const rest = error === null && written < data.length ? data.subarray(written) : undefined;
            this.bufferedBytes -= rest === undefined ? data.length : written;
            if (rest !== undefined) {
                this.writeAll(rest);
                return;
            }
            this.isWriting = false;
            this.flush();
        });
    }
}
