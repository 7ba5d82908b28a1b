import { GateLoadReport } from "../fleet/GateLoadReport.js";
import { GateRecord } from "../fleet/GateRecord.js";

/** A gate that a request may be offered to, with what the entry knows about its state. */
export interface PlacementCandidate {
    readonly record: GateRecord;
    /** Its latest load report, or undefined if the entry has no recent one. */
    readonly load: GateLoadReport | undefined;
    /** Number of requests that this entry has offered to it since that report. */
    readonly offersSinceReport: number;
    /** False while the connection to it is broken. */
    readonly isReachable: boolean;
    /** True while its endpoint is slow after a cold start. */
    readonly isCold: boolean;
    /** Time for which its endpoint has had no request, while its gate asks this entry for one; otherwise undefined. */
    readonly waitingMs: number | undefined;
    /** True if it has refused this request. */
    readonly hasRefused: boolean;
}
