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
    /** Longest wait for a slot at this gate that is preferred to a free slot in another failure domain, in ms; set by `rankGates`. */
    readonly preferredWaitMs?: number;
    /** Wait that an offer for a free slot accepts if that slot has been taken meanwhile, in ms; set by `rankGates`. */
    readonly acceptedWaitMs?: number;
    /** True if entries in the failure domain of the gate should probe it rather than this request; set by `rankGates`. */
    readonly isCostlyToProbe?: boolean;
}
