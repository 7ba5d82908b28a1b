/**
 * Finds the largest number of events in any window of a length.
 *
 * @param eventsAtMs - Times of the events, in ascending order.
 * @param windowMs - Length of the window; events that are exactly this far apart do not share one.
 * @param fromMs - Time before which events do not count.
 * @returns The largest number.
 * @example
 * maxCountIn([0, 1_000, 4_500], 4_000, 0); // 2
 */
export function maxCountIn(eventsAtMs: readonly number[], windowMs: number, fromMs: number): number {
    const counted = eventsAtMs.filter((atMs) => atMs >= fromMs);
    return Math.max(0, ...counted.map((startMs) => counted.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs).length));
}
