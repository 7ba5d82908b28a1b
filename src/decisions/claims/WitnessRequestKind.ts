/** Kinds of requests to a witness. */
export enum WitnessRequestKind {
    /** Acquire the key, or add attempts to the claimant's existing claim. */
    Claim = "claim",
    /** Release the key, since the request did not run. */
    Release = "release",
}
