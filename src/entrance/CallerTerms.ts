/** What a caller says of its request. */
export interface CallerTerms {
    /** Id of the request, or empty if it has none. */
    readonly requestId: string;
    /** Time that the caller waits, or undefined if it does not say. */
    readonly patienceMs: number | undefined;
}
