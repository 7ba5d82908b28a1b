/** Outcome of a request as evidence for or against its endpoint. */
export enum ObservedOutcome {
    Success = "success",
    Failure = "failure",
}
