/** Kinds of effects that a claim machine requests from its controller. */
export enum ClaimEffectKind {
    SendRequest = "send-request",
    Settle = "settle",
    StartRoundTimer = "start-round-timer",
    Granted = "granted",
    Denied = "denied",
    AlreadyExecuted = "already-executed",
    OutcomeUnknown = "outcome-unknown",
}
