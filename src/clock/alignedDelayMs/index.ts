/** Minimum delay, in ms: prevents a timer that fires slightly early from firing again at the same multiple. */
const MIN_DELAY_MS = 5;

/**
 * Computes the time until the next multiple of a period on the runtime's clock. Timers aligned in this way fire together, so
 * that the process wakes up once for all of them.
 *
 * @param nowMs - Current time, in ms.
 * @param periodMs - Period, in ms.
 * @returns Delay in ms, from 5 ms to 5 ms above the period.
 * @example
 * alignedDelayMs(1_234, 100); // 66
 */
export function alignedDelayMs(nowMs: number, periodMs: number): number {
    const delayMs = periodMs - nowMs % periodMs;
    return delayMs < MIN_DELAY_MS ? delayMs + periodMs : delayMs;
}
