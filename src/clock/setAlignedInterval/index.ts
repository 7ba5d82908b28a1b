import { alignedDelayMs } from "../alignedDelayMs/index.js";
import { nowMs } from "../nowMs/index.js";

/**
 * Runs a task at every multiple of a period on the runtime's clock, so that tasks with related periods run together.
 *
 * @param periodMs - Period, in ms.
 * @param task - Task to run.
 * @returns Function that stops the interval.
 * @example
 * const stop = setAlignedInterval(200, () => review());
 */
export function setAlignedInterval(periodMs: number, task: () => void): () => void {
    let timer = setTimeout(fire, alignedDelayMs(nowMs(), periodMs));
    function fire(): void {
        timer = setTimeout(fire, alignedDelayMs(nowMs(), periodMs));
        task();
    }
    return () => clearTimeout(timer);
}
