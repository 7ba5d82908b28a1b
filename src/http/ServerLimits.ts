/** Limits on what the clients of a server may hold together. */
export interface ServerLimits {
    readonly maxConnections: number;
    /** Maximum number of requests that are answered at the same time. */
    readonly maxRequests: number;
    /** Maximum number of requests on one connection that have no answer yet. */
    readonly maxPipelinedRequests: number;
    /** Bytes of unread responses from which on requests are refused. */
    readonly maxUnreadBytes: number;
    /** Maximum time in which a header section arrives. */
    readonly headersTimeoutMs: number;
    /** Maximum time in which a whole request arrives; 0 if it is limited elsewhere. */
    readonly requestTimeoutMs: number;
    /** Maximum time without a request on a connection. */
    readonly keepAliveTimeoutMs: number;
}
