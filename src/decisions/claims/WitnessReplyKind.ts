/** What a witness answers. */
export enum WitnessReplyKind {
    Granted = "granted",
    Held = "held",
    /** The witness has lost its memory and not yet copied it, or knows a newer roster. */
    Abstains = "abstains",
}
