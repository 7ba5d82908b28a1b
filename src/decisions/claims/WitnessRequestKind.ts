/** What a claimant may ask of a witness. */
export enum WitnessRequestKind {
    /** Hold the key, or add attempts to the claim held. */
    Claim = "claim",
    /** Give the key up, since the request did not run. */
    Release = "release",
}
