/** Stages of an endpoint's life as its backend server reports them. */
export enum EndpointPhase {
    Ready = "ready",
    Draining = "draining",
    /** It said that it leaves for good. */
    Left = "left",
}
