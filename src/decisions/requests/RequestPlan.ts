/** Properties of a request that stay the same while it is processed. */
export interface RequestPlan {
    readonly requestId: string;
    readonly isIdempotent: boolean;
    /** Whether attempts must be claimed at the witnesses before they are sent. */
    readonly isClaimRequired: boolean;
    /** Delay after which a hedge (a second, parallel attempt) is sent, in ms; undefined disables hedging. */
    readonly hedgeAfterMs: number | undefined;
    /** Time without an answer after which the gate is queried, in ms. */
    readonly queryAfterMs: number;
    readonly deadlineAtMs: number;
    readonly maxAttempts: number;
}
