/** Reasons for which a leader steps down. */
export enum StepDownReason {
    /** A message had a higher term. */
    HigherTerm = "higher-term",
    /** The leader's disk hangs. */
    HungDisk = "hung-disk",
    /** No majority of the voters has replied within the election timeout. */
    SilentMajority = "silent-majority",
}
