/** What a request machine knows of its request from the start. */
export interface RequestPlan {
    readonly requestId: string;
    readonly idempotent: boolean;
    /** Whether attempts have to be claimed at the witnesses before they are sent. */
    readonly claimed: boolean;
    /** Time after which a second attempt is sent alongside the first, in ms; undefined for no hedging. */
    readonly hedgeAfterMs: number | undefined;
    /** Time without an answer after which the gate is asked, in ms. */
    readonly queryAfterMs: number;
    readonly deadlineAtMs: number;
    readonly maxAttempts: number;
}
