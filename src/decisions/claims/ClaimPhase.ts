/** What a claim machine is waiting for. */
export enum ClaimPhase {
    /** Nothing: no attempt is wanted, or the last one was decided. */
    Idle = "idle",
    /** Replies of witnesses. */
    Asking = "asking",
    /** Gates of other claimants' attempts. */
    Settling = "settling",
    /** The next try to reach a majority. */
    Waiting = "waiting",
}
