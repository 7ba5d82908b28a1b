import { GateRef } from "../../model/GateRef.js";

/** An endpoint that can be chosen, and its load as known to the entry. */
export interface EndpointCandidate {
    readonly gate: GateRef;
    /** Requests that are running, queued or in transit, per slot. */
    readonly loadPerSlot: number;
    /** Share of an even load that the endpoint should receive, 0 to 1. */
    readonly weight: number;
}
