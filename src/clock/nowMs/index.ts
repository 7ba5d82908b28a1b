/**
 * Reads the runtime's monotonic clock.
 *
 * @returns Time in ms since the start of the process; never goes back.
 * @example
 * const elapsedMs = nowMs() - startedAtMs;
 */
export function nowMs(): number {
    return performance.now();
}
