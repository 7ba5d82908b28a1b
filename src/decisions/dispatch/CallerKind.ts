/** Who sends a request, as far as its dispatch depends on it. */
export enum CallerKind {
    /** No organisations are configured. */
    Unknown = "unknown",
    /** A caller with a key of an organisation. */
    Organisation = "organisation",
    /** A caller without an organisation while there are some: a running request that waits for the response. */
    RunningRequest = "running-request",
}
