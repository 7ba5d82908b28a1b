import { alignedDelayMs } from "../../clock/alignedDelayMs/index.js";
import { nowMs } from "../../clock/nowMs/index.js";

/** Bytes of lines that wait for their reader at most; a few seconds of a busy process. */
const MAX_WAITING_BYTES = 1_024 * 1_024;

/** Code of the error of a pipe that does not block and is full. */
const FULL_CODE = "EAGAIN";
/** Time until a full pipe is written to again, in ms. */
const FULL_WAIT_MS = 50;

/** Writes bytes and calls back when it is done, as `fs.write` does. */
type Write = (data: Buffer, done: (error: Error | null, written: number) => void) => void;

/**
 * Writes lines without ever waiting for their reader: lines beyond a bound are dropped, and how many is said in a line of
 * its own as soon as there is room again.
 */
export class LineWriter {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private isWriting = false;

    private isGathering = false;

    private constructor(
        private readonly write: Write,
        private readonly describeDropped: (count: number) => string,
        private readonly gatherMs: number,
    ) {}

    /**
     * Creates a writer.
     *
     * @param write - Writes bytes; called again only when it has called back.
     * @param describeDropped - Line that says how many lines were dropped.
     * @param gatherMs - Time for which lines are gathered, as each write costs a wake-up; 0 writes at once.
     */
    static create(write: Write, describeDropped: (count: number) => string, gatherMs = 0): LineWriter {
        return new LineWriter(write, describeDropped, gatherMs);
    }

    /** Takes a line without its end. */
    add(line: string): void {
        const bytes = Buffer.byteLength(line) + 1;
        if (this.waitingBytes + bytes > MAX_WAITING_BYTES) {
            this.dropped += 1;
            return;
        }
        if (this.dropped > 0) {
            const count = this.dropped;
            this.dropped = 0;
            this.push(this.describeDropped(count));
        }
        this.push(line);
        if (this.gatherMs === 0) {
            this.flush();
        }
        else if (!this.isGathering) {
            this.isGathering = true;
            setTimeout(() => {
                this.isGathering = false;
                this.flush();
            }, alignedDelayMs(nowMs(), this.gatherMs));
        }
    }

    private push(line: string): void {
        this.waiting.push(line);
        this.waitingBytes += Buffer.byteLength(line) + 1;
    }

    private flush(): void {
        if (this.isWriting || this.waiting.length === 0) {
            return;
        }
        const data = Buffer.from(`${this.waiting.join("\n")}\n`);
        this.waiting = [];
        this.isWriting = true;
        this.writeAll(data);
    }

    private writeAll(data: Buffer): void {
        this.write(data, (error, written) => {
            if (error !== null && "code" in error && error.code === FULL_CODE) {
                setTimeout(() => this.writeAll(data), FULL_WAIT_MS);
                return;
            }
            // A log that cannot be written has nowhere to say so; its lines are counted as read.
            const rest = error === null && written < data.length ? data.subarray(written) : undefined;
            this.waitingBytes -= rest === undefined ? data.length : written;
            if (rest !== undefined) {
                this.writeAll(rest);
                return;
            }
            this.isWriting = false;
            this.flush();
        });
    }
}
