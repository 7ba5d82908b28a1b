/** Minimum intervals between two messages of one kind to the same process. */
export interface UpdateIntervals {
    /** Interval for gate records. */
    readonly recordsMs: number;
    /** Interval for changed loads. */
    readonly loadsMs: number;
    /** Interval for changed grades. */
    readonly gradesMs: number;
}
