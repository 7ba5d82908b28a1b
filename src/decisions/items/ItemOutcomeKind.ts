/** What became of a change of items. */
export enum ItemOutcomeKind {
    Accepted = "accepted",
    Conflict = "conflict",
    UnknownService = "unknown-service",
}
