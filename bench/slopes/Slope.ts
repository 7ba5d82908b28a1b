import { SlopePoint } from "./SlopePoint.js";

/** A cost against a size, measured at several sizes, with the line through them. */
export interface Slope {
    readonly name: string;
    readonly sizeUnit: string;
    readonly valueUnit: string;
    readonly points: readonly SlopePoint[];
    /** Cost of one more unit of size. */
    readonly perUnit: number;
    /** Cost at size 0. */
    readonly base: number;
    /** Largest distance of a point from the line, as a share of the largest value. */
    readonly residualShare: number;
    /** True if the points do not lie on a line: the residual is above a tenth. */
    readonly bent: boolean;
}
