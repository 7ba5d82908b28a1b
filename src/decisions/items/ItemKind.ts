/** Kinds of configuration item; each item has its own version. */
export enum ItemKind {
    Route = "route",
    Service = "service",
    Organisation = "organisation",
    Limits = "limits",
}
