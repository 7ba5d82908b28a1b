import { StandInSpec } from "./StandInSpec.js";

/** Composition of a local fleet. */
export interface FleetSpec {
    readonly manifestFile: string;
    readonly failureDomains: readonly string[];
    /** Backend servers; each gets a VM of its own, with a proxy. */
    readonly standIns: readonly StandInSpec[];
    /** Number of control VMs; 1 by default. */
    readonly controlCount?: number;
    /** Number of VMs that run a proxy but no backend server; 0 by default. */
    readonly bareProxyCount?: number;
}
