/** Events that a claim machine takes. */
export enum ClaimEventKind {
    Want = "want",
    Reply = "reply",
    RoundOver = "round-over",
    Settled = "settled",
}
