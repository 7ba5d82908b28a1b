/** How a request of a caller ended. */
export enum AttemptEnd {
    /** A complete response was read. */
    Complete = "complete",
    /** The connection was closed in order before the response was complete. */
    Closed = "closed",
    /** The connection was reset before the response was complete. */
    Reset = "reset",
    /** The caller gave up at its deadline. */
    TimedOut = "timed-out",
}
