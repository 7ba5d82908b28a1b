import { GateRef } from "../../model/GateRef.js";

/** An endpoint that may be chosen, with what the entry knows of its load. */
export interface EndpointCandidate {
    readonly gate: GateRef;
    /** Requests running, queued and on their way, for each slot. */
    readonly loadPerSlot: number;
    /** Share of its fair load that it should get, 0 to 1. */
    readonly weight: number;
}
