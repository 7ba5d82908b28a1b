/** Kinds of effects that a request machine emits. */
export enum RequestEffectKind {
    Claim = "claim",
    Release = "release",
    Send = "send",
    Settle = "settle",
    Fetch = "fetch",
    Deliver = "deliver",
    Cancel = "cancel",
    SuspectConnection = "suspect-connection",
    ArmTimer = "arm-timer",
    SendLocalReply = "send-local-reply",
    AbortCaller = "abort-caller",
}
