/** Phase of a claim machine: what it is waiting for. */
export enum ClaimPhase {
    /** Nothing: no attempt is requested, or the last one has been decided. */
    Idle = "idle",
    /** Replies from witnesses. */
    CollectingVotes = "collecting-votes",
    /** Outcomes of other claimants' attempts from their gates. */
    SettlingConflicts = "settling-conflicts",
    /** The delay before the next round. */
    BackingOff = "backing-off",
}
