import { nowMs } from "../../clock/nowMs/index.js";

/** Runs a task when asked to, but not more often than its pace allows. The first run after a pause is immediate. */
export class PacedTask {
    private timer: NodeJS.Timeout | undefined;
    private dueAtMs = Number.POSITIVE_INFINITY;
    private ranAtMs = Number.NEGATIVE_INFINITY;

    private constructor(private readonly run: () => void) {}

    /**
     * Creates a task that has not run.
     *
     * @param run - The task.
     */
    static create(run: () => void): PacedTask {
        return new PacedTask(run);
    }

    /**
     * Asks for a run.
     *
     * @param gapMs - Shortest time since the latest run.
     */
    request(gapMs: number): void {
        const atMs = nowMs();
        const dueAtMs = Math.max(atMs, this.ranAtMs + gapMs);
        if (dueAtMs >= this.dueAtMs) {
            return;
        }
        this.close();
        if (dueAtMs <= atMs) {
            this.runNow();
            return;
        }
        this.dueAtMs = dueAtMs;
        this.timer = setTimeout(() => this.runNow(), dueAtMs - atMs);
    }

    /** Drops a run that was asked for. */
    close(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.dueAtMs = Number.POSITIVE_INFINITY;
    }

    private runNow(): void {
        this.close();
        this.ranAtMs = nowMs();
        this.run();
    }
}
