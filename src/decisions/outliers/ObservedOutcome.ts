/** Outcome of a request as a sample for the outlier detection of its endpoint. */
export enum ObservedOutcome {
    Success = "success",
    Failure = "failure",
}
