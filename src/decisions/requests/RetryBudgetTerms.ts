/** Terms of a fleet-wide budget for repeats. */
export interface RetryBudgetTerms {
    readonly windowMs: number;
    /** Repeats for each request. */
    readonly ratio: number;
    /** Repeats on top of the ratio, for the whole fleet. */
    readonly slack: number;
}
