/** Kinds of messages between control VMs. */
export enum QuorumMessageKind {
    PreVote = "pre-vote",
    PreVoteReply = "pre-vote-reply",
    Vote = "vote",
    VoteReply = "vote-reply",
    Append = "append",
    AppendReply = "append-reply",
    Snapshot = "snapshot",
}
