/** Reasons for which a request that may have run has no result. */
export enum DispatchFailure {
    /** The connection was lost before the answer arrived. */
    OutcomeUnknown = "outcome-unknown",
    /** The deadline passed without an answer. */
    TimedOut = "timed-out",
}
