/** Limits that follow from the quota of an organisation and by how much it may be exceeded. */
export interface QuotaBounds {
    /** Tokens that the buckets of all control VMs hold together. */
    readonly capacity: number;
    /** Time for which a token may be used after it was asked for, in ms. */
    readonly leaseMs: number;
    /** Tokens per second that all proxies without contact may grant together. */
    readonly localPerSecond: number;
    /** Time for which a token of such a proxy may be used, in ms. */
    readonly localHoldMs: number;
}
