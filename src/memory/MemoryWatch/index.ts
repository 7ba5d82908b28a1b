import { nowMs } from "../../clock/nowMs/index.js";
import { MemoryUsage } from "../MemoryUsage.js";

/** Interval of the checks, in ms. */
const CHECK_INTERVAL_MS = 1_000;
/** Minimum time between two reports, in ms. */
const REPORT_INTERVAL_MS = 5_000;
/** Share of the heap limit above which memory counts as high. */
const HIGH_HEAP_SHARE = 0.7;
/** Size of buffers outside of the heap above which memory counts as high, in bytes: a third of a small VM. */
const HIGH_EXTERNAL_BYTES = 112 * 1_024 * 1_024;

/** Reports when the memory of the process is high, so that the log names the holders before the process runs out of it. */
export class MemoryWatch {
    private reportedAtMs = Number.NEGATIVE_INFINITY;

    private constructor(private readonly readUsage: () => MemoryUsage, private readonly report: (usage: MemoryUsage) => void) {}

    /**
     * Starts the checks. They don't keep the process running.
     *
     * @param readUsage - Reads the memory of the process.
     * @param report - Called at most every five seconds while memory is high.
     */
    static create(readUsage: () => MemoryUsage, report: (usage: MemoryUsage) => void): MemoryWatch {
        const watch = new MemoryWatch(readUsage, report);
        setInterval(() => watch.check(), CHECK_INTERVAL_MS).unref();
        return watch;
    }

    private check(): void {
        const usage = this.readUsage();
        const isHigh = usage.heapUsedBytes > HIGH_HEAP_SHARE * usage.heapLimitBytes || usage.externalBytes > HIGH_EXTERNAL_BYTES;
        const atMs = nowMs();
        if (isHigh && atMs - this.reportedAtMs >= REPORT_INTERVAL_MS) {
            this.reportedAtMs = atMs;
            this.report(usage);
        }
    }
}
