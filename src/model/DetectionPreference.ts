/** Trade-off between late detection of failures and false positives, chosen by the operator of a deployment. */
export enum DetectionPreference {
    /** Prefers early detection over few false positives. */
    Fast = "fast",
    /** Prefers few false positives over early detection. */
    Careful = "careful",
}
