/** Kinds of input events of a quorum machine. */
export enum QuorumEventKind {
    Tick = "tick",
    Message = "message",
    Propose = "propose",
    Bootstrap = "bootstrap",
    Persisted = "persisted",
    Read = "read",
    Resign = "resign",
    Compact = "compact",
}
