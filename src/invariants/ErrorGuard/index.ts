import { nowMs } from "../../clock/nowMs/index.js";

/** Time in which errors are counted, in ms. */
const WINDOW_MS = 10_000;

/**
 * Last line of defence against errors that nothing has caught. A process whose state does not depend on what has failed
 * goes on; one in which errors pile up is ended, as its state is in doubt.
 */
export class ErrorGuard {
    private errorsAtMs: number[] = [];

    private constructor(
        private readonly maxErrors: number,
        private readonly report: (error: Error, isLast: boolean) => void,
        private readonly giveUp: () => void,
    ) {}

    /**
     * Creates a guard.
     *
     * @param maxErrors - Errors within ten seconds with which the process still goes on.
     * @param report - Logs an error; the last one is followed by the end of the process.
     * @param giveUp - Ends the process.
     */
    static create(maxErrors: number, report: (error: Error, isLast: boolean) => void, giveUp: () => void): ErrorGuard {
        return new ErrorGuard(maxErrors, report, giveUp);
    }

    /** Takes an error that nothing has caught. */
    take(error: Error): void {
        const atMs = nowMs();
        this.errorsAtMs = [...this.errorsAtMs.filter((earlierAtMs) => atMs - earlierAtMs < WINDOW_MS), atMs];
        const isLast = this.errorsAtMs.length > this.maxErrors;
        this.report(error, isLast);
        if (isLast) {
            this.giveUp();
        }
    }
}
