/** Life cycle of an endpoint, as its own gate announces it. */
export enum EndpointState {
    Warming = "warming",
    Serving = "serving",
    Draining = "draining",
    Left = "left",
}
