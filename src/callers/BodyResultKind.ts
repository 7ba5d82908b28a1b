/** Outcome of reading the body of a request. */
export enum BodyResultKind {
    Complete = "complete",
    /** The body exceeds the size limit. */
    TooLarge = "too-large",
    /** The bodies of other requests use up the memory budget for bodies. */
    BudgetExhausted = "budget-exhausted",
    /** No byte arrived within the idle timeout. */
    Stalled = "stalled",
    /** The caller disconnected before the end of the body. */
    Aborted = "aborted",
}
