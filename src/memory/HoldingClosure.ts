/** What was closed because the process held too much. */
export interface HoldingClosure {
    /** Name of the part that the connections belonged to. */
    readonly part: string;
    /** Number of connections closed since the last report. */
    readonly count: number;
    /** Bytes held for them. */
    readonly bytes: number;
    /** Longest time for which one of them had read nothing, in ms. */
    readonly unreadMs: number;
    /** Bytes of all parts before the close. */
    readonly held: number;
    readonly limit: number;
}
