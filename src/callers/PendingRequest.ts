import type { ServerResponse } from "node:http";

/** Request of a caller whose response has not been handed to the operating system yet. */
export interface PendingRequest {
    readonly response: ServerResponse;
    /** True once a response was chosen, or the caller has disconnected. */
    isSettled: boolean;
    /** Bytes of its body that are reserved in the budget. */
    bodyBytes: number;
    onDisconnect: (() => void) | undefined;
}
