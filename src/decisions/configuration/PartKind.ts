/** Kinds of manifest parts. */
export enum PartKind {
    Fleet = "fleet",
    Service = "service",
    Route = "route",
    Customer = "customer",
    /** Written by control, not part of the operator's manifest. */
    Roster = "roster",
}
