/** Progress of an attempt as its entry sees it. */
export enum AttemptProgress {
    /** Waits for the witnesses of its idempotency key. */
    Claiming = "claiming",
    /** On its way or running. */
    Sent = "sent",
    /** The gate is being asked to void it. */
    Settling = "settling",
    /** Its retained answer is being fetched from the gate. */
    Fetching = "fetching",
    /** Its answer is being delivered to the caller. */
    Delivering = "delivering",
    /** It did not run and never will. */
    NotRun = "not-run",
    /** It may have run; nothing more is expected of it. */
    Lost = "lost",
}
