/** What the replacement of a voter waits for. */
export enum VoterWait {
    /** The voter may come back. */
    Return = "return",
    /** No other control VM without a vote replies. */
    Spare = "spare",
    /** The control VMs without a vote lack entries of the log. */
    CatchUp = "catch-up",
    /** Voters change one at a time. */
    OtherChange = "other-change",
    /** Its removal has been proposed. */
    Commit = "commit",
}
