/** Kinds of entries in the replicated log. */
export enum EntryKind {
    /** Carries no data. A new leader appends one, and committing it also commits all entries of earlier terms. */
    Barrier = "barrier",
    /** Replaces the set of voting control VMs. */
    Voters = "voters",
    /** A configuration change. */
    Change = "change",
    /** A change to configuration items, each of which has its own version. */
    Items = "items",
}
