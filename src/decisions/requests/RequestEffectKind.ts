/** Effects that a request machine asks its controller to carry out. */
export enum RequestEffectKind {
    Claim = "claim",
    Release = "release",
    Send = "send",
    Settle = "settle",
    Fetch = "fetch",
    Deliver = "deliver",
    Cancel = "cancel",
    SuspectConnection = "suspect-connection",
    Arm = "arm",
    Conclude = "conclude",
    AbortCaller = "abort-caller",
}
