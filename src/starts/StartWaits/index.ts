import { setTimeout as delay } from "node:timers/promises";
import { nowMs } from "../../clock/nowMs/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { toError } from "../../model/toError/index.js";

/** Delay before something that was missing at the start is tried again, in ms. */
const RETRY_DELAY_MS = 100;
/** Interval of the lines that say what a start waits for, in ms. */
const REPORT_INTERVAL_MS = 5_000;
/** Time without a result after which a start says that it waits, in ms. */
const FIRST_REPORT_DELAY_MS = 1_000;

/** Waits of a start for what is missing for a while: a port, an address, a disk, a file. The log says what is waited for. */
export class StartWaits {
    private constructor(private readonly events: EventLog, private readonly signal: AbortSignal) {}

    /**
     * Creates the waits of a process.
     *
     * @param events - Event log.
     * @param signal - Ends all waits, because the process has to stop.
     */
    static create(events: EventLog, signal: AbortSignal): StartWaits {
        return new StartWaits(events, signal);
    }

    /**
     * Repeats a step of the start until it succeeds. A step that neither succeeds nor fails is waited for.
     *
     * @param what - What the step needs, for the log.
     * @param step - The step; can be repeated after it has failed.
     * @param canPass - Returns whether the step may succeed after this error.
     * @returns The result of the step.
     * @throws The error of the step if it cannot pass, or the reason of the signal.
     */
    async retry<T>(what: string, step: () => Promise<T>, canPass: (error: Error) => boolean): Promise<T> {
        const startedAtMs = nowMs();
        let problem = "no result yet";
        let reportedAtMs = Number.NEGATIVE_INFINITY;
        const report = (): void => {
            if (nowMs() - reportedAtMs >= REPORT_INTERVAL_MS) {
                reportedAtMs = nowMs();
                this.events.record(EventNumber.StartDelayed, { what, problem, waitedMs: Math.round(nowMs() - startedAtMs) });
            }
        };
        const timer = setInterval(report, FIRST_REPORT_DELAY_MS);
        try {
            for (;;) {
                this.signal.throwIfAborted();
                try {
                    return await this.untilAborted(step());
                }
                catch (thrown) {
                    const error = toError(thrown);
                    if (this.signal.aborted || !canPass(error)) {
                        throw error;
                    }
                    problem = error.message;
                    report();
                }
                await delay(RETRY_DELAY_MS, undefined, { signal: this.signal });
            }
        }
        finally {
            clearInterval(timer);
        }
    }

    /** A step that hangs cannot be ended; its result is left alone once the signal has come. */
    private untilAborted<T>(step: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            const abort = (): void => reject(toError(this.signal.reason));
            this.signal.addEventListener("abort", abort, { once: true });
            step.then(resolve, reject).finally(() => this.signal.removeEventListener("abort", abort));
        });
    }
}
