/** Requests that an endpoint currently accepts as probes. */
export enum ProbeDemand {
    /** No probes. */
    None,
    /** Repeatable requests. */
    Repeatable,
    /** Any request: the endpoint has been idle for so long that nothing else would show whether it has recovered. */
    Any,
}
