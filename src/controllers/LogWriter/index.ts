import { nowMs } from "../../clock/nowMs/index.js";
import { QuorumOutput } from "../../decisions/quorum/QuorumOutput.js";
import { toError } from "../../model/toError/index.js";
import { LogWriterCallbacks } from "../LogWriterCallbacks.js";
import { QuorumStore } from "../QuorumStore/index.js";

/** Writes the state in outputs of a quorum machine, in order. Outputs that wait for the disk are written and synced together. */
export class LogWriter {
    private waiting: QuorumOutput[] = [];
    private isRunning = false;
    private running: Promise<void> = Promise.resolve();
    private startedAtMs: number | undefined;
    private isClosed = false;
    private lastMs = 0;
    private maxMs = 0;

    private constructor(private readonly store: QuorumStore, private readonly callbacks: LogWriterCallbacks) {}

    /**
     * Creates a writer.
     *
     * @param store - Store that the state is written to.
     * @param callbacks - Callbacks that receive the results.
     */
    static create(store: QuorumStore, callbacks: LogWriterCallbacks): LogWriter {
        return new LogWriter(store, callbacks);
    }

    /** Number of outputs that wait for the write in progress. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** True while a write is in progress. */
    get isWriting(): boolean {
        return this.startedAtMs !== undefined;
    }

    /** Age of the write in progress, in ms; 0 if there is none. */
    get pendingMs(): number {
        return this.startedAtMs === undefined ? 0 : nowMs() - this.startedAtMs;
    }

    /** Time of the latest write, in ms. */
    get lastDurationMs(): number {
        return this.lastMs;
    }

    /** Longest time of a write, in ms. */
    get longestDurationMs(): number {
        return this.maxMs;
    }

    /** Writes the state in an output, after that of all earlier ones. */
    write(output: QuorumOutput): void {
        if (this.isClosed) {
            return;
        }
        this.waiting.push(output);
        if (!this.isRunning) {
            this.running = this.writeWaiting();
        }
    }

    /** Stops writing, and waits for the end of the write in progress, which is not reported. */
    async close(): Promise<void> {
        this.isClosed = true;
        this.waiting = [];
        await this.running;
    }

    private async writeWaiting(): Promise<void> {
        this.isRunning = true;
        for (let batch = this.takeBatch(); batch.length > 0; batch = this.takeBatch()) {
            if (batch.some(({ writeNumber }) => writeNumber !== undefined) && !await this.save(batch)) {
                return;
            }
            this.callbacks.handleWritten(batch);
        }
        this.isRunning = false;
    }

    /** Takes the outputs that wait, up to the first one with a snapshot, which replaces the log. */
    private takeBatch(): readonly QuorumOutput[] {
        const snapshotAt = this.waiting.findIndex(({ snapshot }) => snapshot !== undefined);
        return this.waiting.splice(0, snapshotAt < 0 ? this.waiting.length : snapshotAt + 1);
    }

    /** Returns false if the batch is not on disk, or nobody waits for it any more. */
    private async save(batch: readonly QuorumOutput[]): Promise<boolean> {
        this.startedAtMs = nowMs();
        try {
            await this.store.save(batch);
        }
        catch (thrown) {
            this.isClosed = true;
            this.waiting = [];
            this.callbacks.handleFailure(toError(thrown));
            return false;
        }
        this.lastMs = this.pendingMs;
        this.maxMs = Math.max(this.maxMs, this.lastMs);
        this.startedAtMs = undefined;
        if (this.isClosed) {
            return false;
        }
        this.callbacks.handleDuration(this.lastMs);
        return true;
    }
}
