/** Kinds of effects that a gate machine emits. */
export enum GateEffectKind {
    Start = "start",
    Refuse = "refuse",
    CancelBackend = "cancel-backend",
    Verdict = "verdict",
    Drained = "drained",
}
