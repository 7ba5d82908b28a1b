/** One measurement of a slope. */
export interface SlopePoint {
    readonly size: number;
    readonly value: number;
}
