/** Kinds of input events of a claim machine. */
export enum ClaimEventKind {
    AttemptRequested = "attempt-requested",
    Reply = "reply",
    RoundTimeout = "round-timeout",
    VerdictReceived = "verdict-received",
}
