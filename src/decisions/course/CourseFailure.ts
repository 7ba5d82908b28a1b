/** How a request fails that may have run. */
export enum CourseFailure {
    /** The answer was lost. */
    OutcomeUnknown = "outcome-unknown",
    /** There was no answer in time. */
    TimedOut = "timed-out",
}
