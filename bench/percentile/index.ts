/**
 * Reads a quantile of samples (nearest rank).
 *
 * @param samples - Samples in any order.
 * @param share - Share of samples at or below the result, 0 to 1.
 * @returns The quantile, or NaN without samples.
 * @example
 * percentile([3, 1, 2], 0.5); // 2
 */
export function percentile(samples: readonly number[], share: number): number {
    const sorted = [...samples].sort((left, right) => left - right);
    return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN;
}
