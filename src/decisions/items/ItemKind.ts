/** Kinds of configuration item that has a version of its own. */
export enum ItemKind {
    Route = "route",
    Service = "service",
    Limits = "limits",
}
