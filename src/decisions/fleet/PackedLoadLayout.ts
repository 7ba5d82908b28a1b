/** Byte offsets of the fields of one packed load. */
export enum PackedLoadLayout {
    /** Hash of the gate's VM; see `gateHash`. */
    Gate = 0,
    Running = 4,
    Queued = 5,
    Slots = 6,
    /** Grade in bits 0 and 1, probe demand in bits 2 and 3, idleness in bit 4, wait for the limit in bits 5 to 7. */
    Flags = 7,
    /** Service time, in ms. */
    ServiceTime = 8,
    /** Outlier score, in tenths. */
    Suspicion = 10,
    /** Shed share, in tenths. */
    ShedShare = 11,
    /** Length of one packed load, in bytes. */
    Length = 12,
}
