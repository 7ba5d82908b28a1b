/** Metadata that a caller adds to its request. */
export interface CallerMetadata {
    /** Id of the request, or an empty string if it has none. */
    readonly requestId: string;
    /** Key of the caller's organisation, or undefined if it has none. */
    readonly apiKey: string | undefined;
    /** Time that the caller waits, or undefined if it is not stated. */
    readonly patienceMs: number | undefined;
}
