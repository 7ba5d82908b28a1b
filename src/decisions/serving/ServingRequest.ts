import { RequestKind } from "../../model/RequestKind.js";

/** A request that is offered to a gate, as far as admission control and queueing depend on it. */
export interface ServingRequest {
    /** Identifies the attempt among all attempts at this gate. */
    readonly key: string;
    readonly requestKind: RequestKind;
    /** Priority of its route; 0 is the highest. */
    readonly priority: number;
    /** Organisation of the caller; empty for none. */
    readonly organisation: string;
    /** Priority of the organisation, before that of the route; 0 is the highest. */
    readonly organisationPriority: number;
    /** Deadline by the gate's clock; no one waits for the answer after it. */
    readonly deadlineAtMs: number;
    /** Time by the gate's clock by which the latency target is met. */
    readonly targetAtMs: number;
    /** Longest expected wait for a slot, in ms; with 0 the request is admitted only to a free slot. */
    readonly maxQueueMs: number;
    /** True for a probe, which may run on a doubted or ejected endpoint. */
    readonly isTrial: boolean;
    /** True if the request may run on an endpoint of any grade, as no better endpoint is left. */
    readonly isLastResort: boolean;
}
