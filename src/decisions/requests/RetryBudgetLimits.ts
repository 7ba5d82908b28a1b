/** Limits of a fleet-wide retry budget. */
export interface RetryBudgetLimits {
    /** Length of the sliding window, in ms. */
    readonly windowMs: number;
    /** Repeats allowed per request. */
    readonly ratio: number;
    /** Repeats allowed in addition to the ratio, for the whole fleet. */
    readonly slack: number;
}
