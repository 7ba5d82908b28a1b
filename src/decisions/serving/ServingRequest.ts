import { RequestKind } from "../../model/RequestKind.js";

/** A request that a gate is asked to run. */
export interface ServingRequest {
    /** Names the attempt among all of this gate. */
    readonly key: string;
    readonly requestKind: RequestKind;
    /** Rank of its route; 0 is the highest. */
    readonly priority: number;
    /** Time on the gate's clock after which nobody waits for the answer. */
    readonly deadlineAtMs: number;
    /** Time on the gate's clock until which the answer is worth its full value. */
    readonly targetAtMs: number;
    /** Longest expected wait for a slot with which it may be let in; 0 if it wants a free slot or none. */
    readonly maxQueueMs: number;
    /** True if it may be spent on an ejected endpoint. */
    readonly isTrial: boolean;
    /** True if it takes an ejected endpoint when there is no other. */
    readonly isLastResort: boolean;
}
