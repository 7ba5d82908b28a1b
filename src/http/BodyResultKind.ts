/** Outcome of reading the body of a request. */
export enum BodyResultKind {
    Complete = "complete",
    /** The body exceeds the size limit. */
    TooLarge = "too-large",
    /** The body arrives in too many small pieces. */
    TooManyPieces = "too-many-pieces",
    /** The bodies of other requests use up the memory budget for bodies. */
    BudgetExhausted = "budget-exhausted",
    /** No byte arrived within the idle timeout, or the body is not complete within the total timeout. */
    Stalled = "stalled",
    /** The sender disconnected before the end of the body. */
    Aborted = "aborted",
}
