/** Offsets of the fields of one packed load, in bytes. */
export enum PackedLoadLayout {
    Gate = 0,
    Running = 4,
    Queued = 5,
    Slots = 6,
    Flags = 7,
    ServiceTime = 8,
    Suspicion = 10,
    ShedShare = 11,
    /** Length of one packed load. */
    Length = 12,
}
