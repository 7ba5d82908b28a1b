import { EndpointRecord } from "../../model/EndpointRecord.js";
import { GateRef } from "../../model/GateRef.js";

/** An endpoint that accepts new work, with a reference to the gate in front of it. */
export interface ServingEndpoint {
    readonly gate: GateRef;
    readonly record: EndpointRecord;
}
