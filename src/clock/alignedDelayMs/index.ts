/** Shortest delay, in ms: a timer that fires early must not fire twice for the same moment. */
const MIN_DELAY_MS = 5;

/**
 * Time until the next multiple of a period on the runtime's clock. Timers that are set to such moments fire together, so
 * that a process wakes up once for all of them.
 *
 * @param nowMs - Current time.
 * @param periodMs - The period.
 * @returns Delay in ms, at least 5 ms and at most 5 ms above the period.
 * @example
 * alignedDelayMs(1_234, 100); // 66
 */
export function alignedDelayMs(nowMs: number, periodMs: number): number {
    const delayMs = periodMs - nowMs % periodMs;
    return delayMs < MIN_DELAY_MS ? delayMs + periodMs : delayMs;
}
