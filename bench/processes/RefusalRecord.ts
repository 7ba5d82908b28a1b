/** A connection that a caller wanted and did not get. */
export interface RefusalRecord {
    /** VM whose proxy was called. */
    readonly vm: number;
    /** Time on the clock of the soak. */
    readonly atMs: number;
}
