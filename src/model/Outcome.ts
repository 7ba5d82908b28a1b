/** Whether a request was executed, as reported to its caller. */
export enum Outcome {
    Ran = "ran",
    NotRun = "not-run",
    Unknown = "unknown",
}
