import { WorkPort } from "../tunnel/WorkPort.js";

/** What an entry's view of the fleet is made from. */
export interface FleetViewSetup {
    readonly vm: string;
    readonly failureDomain: string;
    readonly ownGate: WorkPort;
    /** Proves to gates that this process belongs to the fleet. */
    readonly token: string;
}
