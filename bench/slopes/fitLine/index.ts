import { Slope } from "../Slope.js";
import { SlopePoint } from "../SlopePoint.js";

const MAX_RESIDUAL_FRACTION = 0.1;
const SIGNIFICANT_DIGITS = 6;

/**
 * Fits a line through measurements by least squares.
 *
 * @param name - What was measured.
 * @param sizeUnit - Unit of the sizes.
 * @param valueUnit - Unit of the values.
 * @param points - At least two measurements.
 * @returns The slope, the intercept, and the largest residual relative to the largest value.
 * @example
 * fitLine("memory", "members", "bytes", [{ size: 1, value: 2 }, { size: 2, value: 4 }]).perUnit; // 2
 */
export function fitLine(name: string, sizeUnit: string, valueUnit: string, points: readonly SlopePoint[]): Slope {
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    const meanSize = mean(points.map((point) => point.size));
    const meanValue = mean(points.map((point) => point.value));
    const sizeVariation = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const covariation = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0);
    const perUnit = covariation / sizeVariation;
    const base = meanValue - perUnit * meanSize;
    const residual = Math.max(...points.map((point) => Math.abs(point.value - base - perUnit * point.size)));
    const residualShare = residual / Math.max(...points.map((point) => Math.abs(point.value)));
    const round = (value: number): number => Number(value.toPrecision(SIGNIFICANT_DIGITS));
    return {
        name,
        sizeUnit,
        valueUnit,
        points: points.map((point) => ({ size: point.size, value: round(point.value) })),
        perUnit: round(perUnit),
        base: round(base),
        residualShare: round(residualShare),
        bent: residualShare > MAX_RESIDUAL_FRACTION,
    };
}
