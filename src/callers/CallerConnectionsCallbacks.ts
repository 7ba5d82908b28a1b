import { RefusalListener } from "../logs/RefusalListener.js";
import { PendingRequest } from "./PendingRequest.js";

/** Functions that `CallerConnections` calls back. */
export interface CallerConnectionsCallbacks {
    /** Called once for each request when its response has been handed over, or its caller is gone. */
    readonly onRelease: (pending: PendingRequest) => void;
    /** Called when a connection is closed, with the number of requests on it that were not accepted. */
    readonly onUnreadReleased: (count: number) => void;
    /** Called with each request that is pending when its caller disconnects. */
    readonly onDisconnect: (pending: PendingRequest) => void;
    /** Called with a request whose body cannot be read. */
    readonly onUnreadable: (pending: PendingRequest) => void;
    readonly onRefusal: RefusalListener;
}
