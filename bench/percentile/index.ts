/**
 * Computes a quantile by the nearest-rank method.
 *
 * @param samples - Samples in any order.
 * @param fraction - Fraction of the samples at or below the result, 0 to 1.
 * @returns The quantile, or NaN if there are no samples.
 * @example
 * percentile([3, 1, 2], 0.5); // 2
 */
export function percentile(samples: readonly number[], fraction: number): number {
    const sorted = [...samples].sort((left, right) => left - right);
    return sorted[Math.max(0, Math.ceil(fraction * sorted.length) - 1)] ?? Number.NaN;
}
