/**
 * Computes the smallest majority.
 *
 * @param count - Number of voters.
 * @returns Votes needed, so that two majorities always share a voter.
 * @example
 * majorityOf(5); // 3
 */
export function majorityOf(count: number): number {
    return Math.floor(count / 2) + 1;
}
