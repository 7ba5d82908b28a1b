/** What the caller may conclude about the execution of its request. */
export enum Outcome {
    Ran = "ran",
    NotRun = "not-run",
    Unknown = "unknown",
}
