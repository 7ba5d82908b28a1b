import { GatePort } from "./GatePort.js";
import { ProxyMessage } from "./ProxyMessage.js";

/** Connection of an entry to a gate on another VM. */
export interface GateTunnel extends GatePort {
    /** False while the gate cannot be connected to or does not respond. */
    readonly isReachable: boolean;
    /** True while `tick` has to be called. */
    readonly isWaiting: boolean;
    /** Connects if there is no connection, so that the gate can invite this entry before it has sent a request. */
    open(): void;
    /** Sends a message that concerns no request, once it is connected; returns false if the gate cannot be reached. */
    sendMessage(message: ProxyMessage): boolean;
    /** Handles timeouts. Call it several times a second while `isWaiting`. */
    tick(): void;
    /** Resets the reconnect delay, for example after an update about the gate. */
    resetBackoff(): void;
    /** Records that the gate takes no more requests and is about to stop, so that the rest of its responses is held by this process. */
    retire(): void;
    /** Closes the connection and settles all outstanding offers. */
    close(): void;
}
