/** Reasons for which a leader steps down. */
export enum StepDownReason {
    /** A message had a higher term. */
    HigherTerm = "higher-term",
    /** No majority of the voters has replied within the election timeout. */
    SilentMajority = "silent-majority",
}
