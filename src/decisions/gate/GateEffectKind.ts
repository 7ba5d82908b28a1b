/** Effects that a gate ledger asks its controller to carry out. */
export enum GateEffectKind {
    Start = "start",
    Refuse = "refuse",
    CancelBackend = "cancel-backend",
    Verdict = "verdict",
    Drained = "drained",
}
