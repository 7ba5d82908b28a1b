/** Lifecycle phases of an endpoint, as its backend server reports them. */
export enum EndpointPhase {
    /** It takes requests. */
    Ready = "ready",
    /** It takes no new requests and finishes the running ones. */
    Draining = "draining",
    /** It has announced its final departure. */
    Left = "left",
}
