import { nowMs } from "../../clock/nowMs/index.js";

/** Time window in which errors are counted, in ms. */
const WINDOW_MS = 10_000;

/**
 * Decides whether the process continues after an uncaught error. It continues after isolated errors if its state does not
 * depend on the operation that failed; it is terminated when errors accumulate, since its state may then be inconsistent.
 */
export class UncaughtErrorHandler {
    private errorsAtMs: number[] = [];

    private constructor(
        private readonly maxErrors: number,
        private readonly report: (error: Error, isLast: boolean) => void,
        private readonly terminate: () => void,
    ) {}

    /**
     * Creates a handler.
     *
     * @param maxErrors - Maximum number of errors within ten seconds after which the process continues.
     * @param report - Logs an error; `isLast` is true if the process is terminated after it.
     * @param terminate - Terminates the process.
     */
    static create(maxErrors: number, report: (error: Error, isLast: boolean) => void, terminate: () => void): UncaughtErrorHandler {
        return new UncaughtErrorHandler(maxErrors, report, terminate);
    }

    /** Handles an uncaught error. */
    handle(error: Error): void {
        const atMs = nowMs();
        this.errorsAtMs = [...this.errorsAtMs.filter((errorAtMs) => atMs - errorAtMs < WINDOW_MS), atMs];
        const isLast = this.errorsAtMs.length > this.maxErrors;
        this.report(error, isLast);
        if (isLast) {
            this.terminate();
        }
    }
}
