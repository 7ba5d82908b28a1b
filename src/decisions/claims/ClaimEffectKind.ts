/** Effects that a claim machine asks its controller to carry out. */
export enum ClaimEffectKind {
    Ask = "ask",
    Settle = "settle",
    ArmRound = "arm-round",
    Granted = "granted",
    Denied = "denied",
    Found = "found",
    Unknown = "unknown",
}
