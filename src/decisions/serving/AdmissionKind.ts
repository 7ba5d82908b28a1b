/** Kinds of admission decision. */
export enum AdmissionKind {
    /** The request takes a free slot. */
    Start = "start",
    /** The request waits for a slot. */
    Queue = "queue",
    /** The request is refused and has not run. */
    Refuse = "refuse",
}
