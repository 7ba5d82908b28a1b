/**
 * Computes the size of the smallest majority. Any two majorities share a voter.
 *
 * @param count - Number of voters.
 * @returns Number of votes needed.
 * @example
 * majorityOf(5); // 3
 */
export function majorityOf(count: number): number {
    return Math.floor(count / 2) + 1;
}
