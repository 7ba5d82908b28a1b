import { BackendExchange } from "./BackendExchange.js";
import { BackendRequest } from "./BackendRequest.js";

/** Interface of a gate to its backend server. */
export interface BackendPort {
    /** Number of connections opened since the start. */
    readonly openedCount: number;
    /** Bytes of incomplete responses that all connections hold. */
    readonly bufferedBytes: number;
    /** Bytes of the bodies of requests that were sent and have no response yet, whether the endpoint has read them or not. */
    readonly requestBytes: number;
    /**
     * Sends a request.
     *
     * @param request - The request.
     * @param needsLiveConnection - True if the request must not be sent on a connection that may be dead.
     * @param onResend - Called when the request is sent a second time because its first connection was stale.
     */
    send(request: BackendRequest, needsLiveConnection: boolean, onResend?: () => void): BackendExchange;
    /** Closes connections that cannot be used again. */
    closeUnusable(): void;
    /** Closes all connections. */
    close(): void;
}
