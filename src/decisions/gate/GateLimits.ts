/** Limits that a gate enforces for one endpoint. */
export interface GateLimits {
    /** Maximum number of concurrently running attempts. */
    readonly slots: number;
    /** Slots reserved for submissions and orders. */
    readonly reservedSlots: number;
    /** Maximum number of attempts that are queued or running. */
    readonly connections: number;
    /** Time for which the phase of an attempt with an idempotency key is kept, in ms. */
    readonly keyedRetentionMs: number;
    /** Maximum number of attempts that wait for a slot. */
    readonly queue: number;
}
