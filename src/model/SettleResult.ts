/** Status of an attempt, as returned for a settle message. */
export enum SettleResult {
    /** The attempt was refused or voided; it never runs. */
    Voided = "voided",
    /** The gate has not received the attempt. */
    NeverArrived = "never-arrived",
    Queued = "queued",
    Started = "started",
    Finished = "finished",
    /** The gate has no record of the attempt, or has been replaced by a new incarnation. */
    Unknown = "unknown",
    /** The gate did not answer. */
    Unreachable = "unreachable",
}
