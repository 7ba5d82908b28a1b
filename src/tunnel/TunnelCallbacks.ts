import { Invitation } from "./Invitation.js";
import { ProxyMessage } from "./ProxyMessage.js";

/** Functions of an entry that a tunnel calls. */
export interface TunnelCallbacks {
    /** Called when the gate becomes unreachable, with the problem, or reachable again. */
    onReachabilityChange(isReachable: boolean, problem: string): void;
    /** Called when the gate asks for a request for its endpoint, and when it no longer does. */
    onInvitation(invitation: Invitation): void;
    /** Called with each message that concerns no request; absent if nobody handles them. */
    onMessage?(message: ProxyMessage): void;
    /** Called with the size of each frame that is sent to the gate; absent if nobody counts them. */
    onSent?(lengthBytes: number): void;
    /** Returns whether this process can hold the rest of the responses of a gate that is about to stop; absent if it cannot. */
    hasRoom?(): boolean;
    /** Called with each unexpected error, which affects only the frame that caused it. */
    onError(error: Error): void;
}
