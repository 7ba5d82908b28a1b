/**
 * Reads the runtime's monotonic clock.
 *
 * @returns Time since the start of the process, in ms; never decreases.
 * @example
 * const elapsedMs = nowMs() - startedAtMs;
 */
export function nowMs(): number {
    return performance.now();
}
