/**
 * Finds the longest time without an event in an interval.
 *
 * @param eventsAtMs - Times of the events, in ascending order.
 * @param fromMs - Start of the interval.
 * @param toMs - End of the interval.
 * @returns The longest time, in ms; that of the interval if there is no event in it.
 * @example
 * longestGapMs([1_000, 1_500], 0, 2_000); // 1000
 */
export function longestGapMs(eventsAtMs: readonly number[], fromMs: number, toMs: number): number {
    const edges = [fromMs, ...eventsAtMs.filter((atMs) => atMs > fromMs && atMs < toMs), toMs];
    return Math.max(...edges.slice(1).map((atMs, index) => atMs - (edges[index] ?? atMs)));
}
