/** Identity of an attempt; unique across all entries and their restarts. */
export interface AttemptId {
    /** Incarnation of the entry that sends the attempt. */
    readonly entry: string;
    /** Number of the attempt within the incarnation of the entry, starting at 1. */
    readonly sequence: number;
}
