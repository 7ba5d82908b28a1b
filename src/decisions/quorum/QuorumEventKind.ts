/** Events that a quorum machine takes. */
export enum QuorumEventKind {
    Tick = "tick",
    Message = "message",
    Propose = "propose",
    Bootstrap = "bootstrap",
    Compact = "compact",
}
