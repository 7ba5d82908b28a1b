import { GateLoadReport } from "../fleet/GateLoadReport.js";
import { GateRecord } from "../fleet/GateRecord.js";

/** A gate that a request may be offered to, as an entry knows it. */
export interface PlacementCandidate {
    readonly record: GateRecord;
    /** Its latest report, or undefined if none has come yet. */
    readonly load: GateLoadReport | undefined;
    /** Requests that this entry has offered since that report. */
    readonly offeredSince: number;
    /** False while the path to it is broken. */
    readonly isReachable: boolean;
    /** True if its endpoint has just started and is slow. */
    readonly isCold: boolean;
    /** True if this entry has been refused by it for this request. */
    readonly hasRefused: boolean;
}
