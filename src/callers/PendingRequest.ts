import type { ServerResponse } from "node:http";

/** Request of a caller whose response has not been handed to the operating system yet. */
export interface PendingRequest {
    readonly response: ServerResponse;
    /** True once a response was chosen, or the caller has disconnected. */
    isSettled: boolean;
    /** Memory of its header section that is reserved in the budget until the response has been handed over. */
    headerBytes: number;
    /** Bytes of its body that are reserved in the budget until its response is chosen. */
    bodyBytes: number;
    /** Bytes of its response that are held. */
    responseBytes: number;
    /** Time since which its caller has read nothing of them, in ms. */
    unreadSinceMs: number;
    onDisconnect: (() => void) | undefined;
}
