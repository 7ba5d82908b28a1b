/** Kinds of part into which a manifest is cut for storage and spread. */
export enum PartKind {
    Fleet = "fleet",
    Service = "service",
    Route = "route",
    Customer = "customer",
    /** Set by control, not by the manifest. */
    Roster = "roster",
}
