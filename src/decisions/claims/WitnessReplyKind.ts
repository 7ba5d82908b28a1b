/** Kinds of replies of a witness. */
export enum WitnessReplyKind {
    Granted = "granted",
    Held = "held",
    /** The witness has lost its claims and not yet copied them back, or has a newer roster. */
    Abstains = "abstains",
}
