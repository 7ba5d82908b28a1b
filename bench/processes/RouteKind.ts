/** Kinds of routes as the platform names them. */
export enum RouteKind {
    Safe = "safe",
    Unsafe = "unsafe",
    Download = "download",
}
