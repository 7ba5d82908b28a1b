/** Lifecycle state of an endpoint, as announced by its gate. */
export enum EndpointState {
    Warming = "warming",
    Serving = "serving",
    Draining = "draining",
    Left = "left",
}
