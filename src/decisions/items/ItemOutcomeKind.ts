/** Kinds of outcome of a change of configuration items. */
export enum ItemOutcomeKind {
    Accepted = "accepted",
    Conflict = "conflict",
    UnknownService = "unknown-service",
    SharedKey = "shared-key",
}
