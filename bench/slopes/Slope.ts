import { SlopePoint } from "./SlopePoint.js";

/** A cost measured at several sizes, with the line fitted to the measurements. */
export interface Slope {
    readonly name: string;
    readonly sizeUnit: string;
    readonly valueUnit: string;
    readonly points: readonly SlopePoint[];
    /** Cost per unit of size. */
    readonly perUnit: number;
    /** Cost at size 0. */
    readonly base: number;
    /** Largest absolute residual, as a fraction of the largest absolute value. */
    readonly residualShare: number;
    /** True if the relation is not linear, that is, if `residualShare` is above 0.1. */
    readonly bent: boolean;
}
