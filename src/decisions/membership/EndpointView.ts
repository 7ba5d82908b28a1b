import { EndpointRecord } from "../../model/EndpointRecord.js";
import { GateRef } from "../../model/GateRef.js";

/** An endpoint with the gate that guards it. */
export interface EndpointView {
    readonly gate: GateRef;
    readonly record: EndpointRecord;
}
