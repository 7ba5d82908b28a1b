/** Answer of a gate to a settle or query message about one attempt. */
export enum AttemptVerdict {
    Voided = "voided",
    NeverArrived = "never-arrived",
    Queued = "queued",
    Started = "started",
    Finished = "finished",
    Unknown = "unknown",
    Unreachable = "unreachable",
}
