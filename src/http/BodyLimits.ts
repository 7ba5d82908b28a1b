/** Limits on the body of a request. */
export interface BodyLimits {
    readonly maxBytes: number;
    /** Maximum time without any byte. */
    readonly idleTimeoutMs: number;
    /** Maximum time until the body is complete. */
    readonly totalTimeoutMs: number;
}
