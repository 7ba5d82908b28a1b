/** Reasons for which a voter refuses its vote. */
export enum VoteRefusal {
    /** The candidate's term is not higher than the voter's. */
    OldTerm = "old-term",
    /** The voter has voted for another candidate in the term. */
    VotedForOther = "voted-for-other",
    /** The voter has just voted for another candidate, which gets the time to win. */
    RecentVote = "recent-vote",
    /** The voter is in contact with a leader. */
    LeaderContact = "leader-contact",
    /** The voter's log is more up to date than the candidate's. */
    OutdatedLog = "outdated-log",
}
