import { HoldingBudget } from "../memory/HoldingBudget/index.js";
import { RefusalListener } from "../logs/RefusalListener.js";
import { SocketBudget } from "../frames/SocketBudget/index.js";
import { StartWaits } from "../starts/StartWaits/index.js";
import { GatePort } from "./GatePort.js";
import { ProxyMessage } from "./ProxyMessage.js";

/** Settings and dependencies of `TunnelServer`. */
export interface TunnelServerOptions {
    readonly host: string;
    readonly port: number;
    /** Token that entries present to authenticate. */
    readonly token: string;
    /** Identifies this run of the proxy. */
    readonly gateRun: string;
    readonly gate: GatePort;
    /** Failure domain of the gate. */
    readonly failureDomain: string;
    /** Called with each message of an entry that concerns no request, and a function that replies; absent if nobody handles them. */
    readonly onMessage?: (message: ProxyMessage, reply: (message: ProxyMessage) => void) => void;
    /** Bounds what the tunnels of this process hold. */
    readonly budget: SocketBudget;
    /** Bounds what the process holds in all; without it, only the limits of the tunnels apply. */
    readonly holdingBudget?: HoldingBudget;
    /** Called each time something is refused or dropped because of a limit. */
    readonly recordRefusal: RefusalListener;
    /** Called with each unexpected error, which affects only the frame or connection that caused it. */
    readonly onError: (error: Error) => void;
    /** Waits for a port that is held; without it, that is an error. */
    readonly waits?: StartWaits;
}
