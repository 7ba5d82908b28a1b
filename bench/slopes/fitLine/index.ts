import { Slope } from "../Slope.js";
import { SlopePoint } from "../SlopePoint.js";

const BENT_SHARE = 0.1;
const DIGITS = 6;

/**
 * Fits a line through measurements by least squares.
 *
 * @param name - What was measured.
 * @param sizeUnit - Unit of the sizes.
 * @param valueUnit - Unit of the values.
 * @param points - At least two measurements.
 * @returns The slope, its base and how far the points are from the line.
 * @example
 * fitLine("memory", "members", "bytes", [{ size: 1, value: 2 }, { size: 2, value: 4 }]).perUnit; // 2
 */
export function fitLine(name: string, sizeUnit: string, valueUnit: string, points: readonly SlopePoint[]): Slope {
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    const meanSize = mean(points.map((point) => point.size));
    const meanValue = mean(points.map((point) => point.value));
    const spread = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const shared = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0);
    const perUnit = shared / spread;
    const base = meanValue - perUnit * meanSize;
    const residual = Math.max(...points.map((point) => Math.abs(point.value - base - perUnit * point.size)));
    const residualShare = residual / Math.max(...points.map((point) => Math.abs(point.value)));
    const round = (value: number): number => Number(value.toPrecision(DIGITS));
    return {
        name,
        sizeUnit,
        valueUnit,
        points: points.map((point) => ({ size: point.size, value: round(point.value) })),
        perUnit: round(perUnit),
        base: round(base),
        residualShare: round(residualShare),
        bent: residualShare > BENT_SHARE,
    };
}
