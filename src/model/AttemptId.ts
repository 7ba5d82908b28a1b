/** Identity of one attempt: unique over all entries and their restarts. */
export interface AttemptId {
    /** Incarnation of the entry that sends the attempt. */
    readonly entry: string;
    /** Number of the attempt within the entry incarnation, from 1. */
    readonly sequence: number;
}
