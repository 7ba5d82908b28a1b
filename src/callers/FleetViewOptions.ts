import { GatePort } from "../tunnel/GatePort.js";
import { GateTunnel } from "../tunnel/GateTunnel.js";
import { ProxyMessage } from "../tunnel/ProxyMessage.js";
import { TunnelCallbacks } from "../tunnel/TunnelCallbacks.js";

/** Settings and dependencies of `FleetView`. */
export interface FleetViewOptions {
    readonly vm: string;
    readonly failureDomain: string;
    /** Gate in the same process. */
    readonly localGate: GatePort;
    /** Called with each message of another proxy that concerns no request; absent if nobody handles them. */
    readonly onMessage?: (vm: string, message: ProxyMessage) => void;
    /** Returns whether this process can hold more for callers that read slowly; absent if it cannot. */
    readonly hasRoom?: () => boolean;
    /** Creates a tunnel to the gate at an address; it connects when it is opened or a request is offered. */
    readonly openTunnel: (gateAddress: string, callbacks: TunnelCallbacks) => GateTunnel;
}
