import { StartCount } from "../StartCount.js";

/** Lowest share that is expected to remain, so that estimates stay finite. */
const MIN_REMAINING_SHARE = 0.05;
/** Number of recent starts below which nothing is concluded from them. */
const MIN_STARTS = 3;

/**
 * Estimates the share of the starts that remains for a waiting request while others overtake it, from the recent starts.
 *
 * @param starts - Recent starts by kind.
 * @param overtakes - Whether requests of a kind overtake the waiting one.
 * @returns The share, above 0 up to 1; 1 while there were too few starts.
 * @example
 * remainingShare([{ ...urgent, count: 3 }, { ...other, count: 1 }], ({ priority }) => priority === 0); // 0.25
 */
export function remainingShare(starts: readonly StartCount[], overtakes: (kind: StartCount) => boolean): number {
    let total = 0;
    let overtaking = 0;
    starts.forEach((start) => {
        total += start.count;
        overtaking += overtakes(start) ? start.count : 0;
    });
    return total < MIN_STARTS ? 1 : Math.max(MIN_REMAINING_SHARE, 1 - overtaking / total);
}
