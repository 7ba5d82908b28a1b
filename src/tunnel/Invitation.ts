import { GateLoadReport } from "../decisions/fleet/GateLoadReport.js";

/** Invitation of a gate to an entry to send its endpoint a request, or the withdrawal of one. */
export interface Invitation {
    readonly load: GateLoadReport;
    /** Time for which the endpoint has had no request, infinite if it never had one; undefined to withdraw an invitation. */
    readonly waitedMs: number | undefined;
}
