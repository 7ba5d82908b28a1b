/** Kinds of entry in the replicated log. */
export enum EntryKind {
    /** Marks the start of a term, so that earlier entries are committed with it. */
    Barrier = "barrier",
    /** Sets the control VMs that vote. */
    Voters = "voters",
    /** A change of the configuration. */
    Change = "change",
    /** A change of configuration items that have versions of their own. */
    Items = "items",
}
