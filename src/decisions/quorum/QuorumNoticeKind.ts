/** Kinds of notices about the elections of a quorum machine. */
export enum QuorumNoticeKind {
    RoundStarted = "round-started",
    RoundLost = "round-lost",
    VoteRefused = "vote-refused",
    SteppedDown = "stepped-down",
}
