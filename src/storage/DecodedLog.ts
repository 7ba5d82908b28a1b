/** Decoded content of a log file. */
export interface DecodedLog {
    readonly payloads: readonly Buffer[];
    /** Total length of the intact records at the start of the file, in bytes. */
    readonly validBytes: number;
    /** Offset in bytes of a corrupt record that is followed by an intact one; undefined if there is none. */
    readonly corruptOffset: number | undefined;
}
