/** Progress of an attempt, tracked by its entry. */
export enum AttemptProgress {
    /** Waits for a majority of the witnesses of its idempotency key. */
    Claiming = "claiming",
    /** Sent to its gate; it may be queued, running or finished there. */
    Sent = "sent",
    /** The gate has been asked to void it, and the verdict is pending. */
    Settling = "settling",
    /** Its retained answer is being fetched from the gate. */
    Fetching = "fetching",
    /** Its answer is being sent to the caller. */
    Delivering = "delivering",
    /** It did not run and will not run. */
    NotRun = "not-run",
    /** It may have run; the entry no longer waits for it. */
    Abandoned = "abandoned",
}
