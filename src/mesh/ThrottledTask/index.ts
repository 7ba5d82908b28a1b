import { nowMs } from "../../clock/nowMs/index.js";

/** Throttles a task: runs it on request, but with a minimum interval between runs. The first run after a pause is immediate. */
export class ThrottledTask {
    private timer: NodeJS.Timeout | undefined;
    private dueAtMs = Number.POSITIVE_INFINITY;
    private lastRunAtMs = Number.NEGATIVE_INFINITY;

    private constructor(private readonly run: () => void) {}

    /**
     * Creates a throttled task.
     *
     * @param run - Function to run.
     */
    static create(run: () => void): ThrottledTask {
        return new ThrottledTask(run);
    }

    /**
     * Requests a run. Has no effect if an earlier one is already scheduled.
     *
     * @param minIntervalMs - Minimum time since the last run.
     */
    request(minIntervalMs: number): void {
        const atMs = nowMs();
        const dueAtMs = Math.max(atMs, this.lastRunAtMs + minIntervalMs);
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

    /** Cancels a scheduled run. */
    close(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.dueAtMs = Number.POSITIVE_INFINITY;
    }

    private runNow(): void {
        this.close();
        this.lastRunAtMs = nowMs();
        this.run();
    }
}
