/** Content of a log file. */
export interface DecodedLog {
    readonly payloads: readonly Buffer[];
    /** Length of the whole records, in bytes; what follows is a torn write. */
    readonly wholeBytes: number;
    /** Offset of a broken record that has whole records behind it, in bytes; undefined if there is none. */
    readonly corruptAt: number | undefined;
}
