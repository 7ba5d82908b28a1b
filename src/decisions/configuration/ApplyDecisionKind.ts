/** Kinds of results of an apply request. */
export enum ApplyDecisionKind {
    Accept = "accept",
    Repeat = "repeat",
    Conflict = "conflict",
}
