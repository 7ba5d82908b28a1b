/** Limit that some endpoints of a `ModelService` name. */
export interface ModelLimit {
    /** Number of endpoints that name it. */
    readonly endpointCount: number;
    /** Requests per second from all entries together. */
    readonly perSecond: number;
}
