/** Limits that a gate enforces for one endpoint. */
export interface GateLimits {
    /** Requests that run at the same time. */
    readonly slots: number;
    /** Slots kept for Submission and Order work. */
    readonly reservedSlots: number;
    /** Attempts that may be queued or running at the same time. */
    readonly connections: number;
    /** Time for which the fate of work with an idempotency key is kept, in ms. */
    readonly keyedRetentionMs: number;
    /** Attempts that may wait for a slot. */
    readonly queue: number;
}
