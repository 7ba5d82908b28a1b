import { StandInPlan } from "./StandInPlan.js";

/** What a local fleet is made of. */
export interface FleetPlan {
    readonly manifestFile: string;
    readonly failureDomains: readonly string[];
    /** One proxy and one stand-in backend server for each entry. */
    readonly standIns: readonly StandInPlan[];
    /** Control VMs, 1 if not set. */
    readonly controls?: number;
    /** Proxies without a backend server beside them. */
    readonly bareProxies?: number;
}
