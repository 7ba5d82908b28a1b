import type { ServerResponse } from "node:http";

/** Request of a caller whose response has not been handed to the operating system yet. */
export interface PendingRequest {
    readonly response: ServerResponse;
    /** True once a response was chosen, or the caller has disconnected. */
    isSettled: boolean;
    /** Bytes of its header section and body that are reserved in the budget. */
    requestBytes: number;
    /** Bytes of its response that are held. */
    responseBytes: number;
    onDisconnect: (() => void) | undefined;
}
