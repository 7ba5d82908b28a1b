import { Period } from "../Period.js";

const INTERVAL_MS = 20;
/** Delay of a timer above which the soak itself did not run, in ms. */
const MIN_STALL_MS = 50;

/** Records when the soak itself did not run, so that what it saw late is not held against the processes. */
export class StallWatch {
    readonly stalls: Period[] = [];
    private lastAtMs: number;
    private readonly timer: NodeJS.Timeout;
    private maxMs = 0;

    private constructor(private readonly nowMs: () => number) {
        this.lastAtMs = nowMs();
        this.timer = setInterval(() => this.sample(), INTERVAL_MS);
    }

    /**
     * Starts to watch.
     *
     * @param nowMs - Clock of the soak.
     */
    static create(nowMs: () => number): StallWatch {
        return new StallWatch(nowMs);
    }

    /** Longest time for which the soak did not run, in ms. */
    get longestMs(): number {
        return Math.round(this.maxMs);
    }

    /** Stops to watch. */
    close(): void {
        clearInterval(this.timer);
    }

    private sample(): void {
        const atMs = this.nowMs();
        const stallMs = atMs - this.lastAtMs - INTERVAL_MS;
        if (stallMs > MIN_STALL_MS) {
            this.stalls.push({ fromMs: atMs - stallMs, untilMs: atMs });
            this.maxMs = Math.max(this.maxMs, stallMs);
        }
        this.lastAtMs = atMs;
    }
}
