/** Bounds on the body of a caller's request. */
export interface BodyLimits {
    readonly maxBytes: number;
    /** Longest time without any byte. */
    readonly stallMs: number;
}
