import { alignedDelayMs } from "../alignedDelayMs/index.js";
import { nowMs } from "../nowMs/index.js";

/**
 * Runs a task at every multiple of a period on the runtime's clock, together with other tasks that are due then.
 *
 * @param periodMs - The period.
 * @param run - The task.
 * @returns Ends the runs.
 * @example
 * const stop = everyAligned(200, () => review());
 */
export function everyAligned(periodMs: number, run: () => void): () => void {
    let timer = setTimeout(fire, alignedDelayMs(nowMs(), periodMs));
    function fire(): void {
        timer = setTimeout(fire, alignedDelayMs(nowMs(), periodMs));
        run();
    }
    return () => clearTimeout(timer);
}
