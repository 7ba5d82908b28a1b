import { nowMs } from "../nowMs/index.js";
import { setAlignedInterval } from "../setAlignedInterval/index.js";

/** Interval of observations, in ms; that of other aligned timers, so that a process does not wake up for it. */
const WATCH_INTERVAL_MS = 200;
/** Time between two observations from which this process was paused, in ms. */
const MIN_PAUSE_MS = 500;

/**
 * Notices that this process did not run for a while, because it was suspended or had no processor. After a pause timers are handled
 * before the messages that have arrived meanwhile, so that its time says nothing about the silence of a peer.
 */
export class PauseWatch {
    private observedAtMs = nowMs();
    private endedAtMs = Number.NEGATIVE_INFINITY;
    private readonly stop = setAlignedInterval(WATCH_INTERVAL_MS, () => this.observe());

    private constructor() {}

    /** Starts watching. */
    static create(): PauseWatch {
        return new PauseWatch();
    }

    /** End of the latest pause, in ms; negative infinity if there was none. */
    get resumedAtMs(): number {
        this.observe();
        return this.endedAtMs;
    }

    /** Stops watching. */
    close(): void {
        this.stop();
    }

    private observe(): void {
        const atMs = nowMs();
        if (atMs - this.observedAtMs >= MIN_PAUSE_MS) {
            this.endedAtMs = atMs;
        }
        this.observedAtMs = atMs;
    }
}
