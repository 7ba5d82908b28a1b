import { GatePort } from "../tunnel/GatePort.js";

/** Settings and dependencies of `FleetView`. */
export interface FleetViewOptions {
    readonly vm: string;
    readonly failureDomain: string;
    /** Gate in the same process. */
    readonly localGate: GatePort;
    /** Token that authenticates this process to gates as a member of the fleet. */
    readonly token: string;
}
