import { RequestKind } from "../../model/RequestKind.js";

/** Properties of a request that its dispatch depends on. */
export interface DispatchPlan {
    readonly requestKind: RequestKind;
    /** Maximum number of endpoints that may run the request. */
    readonly maxAttempts: number;
    /** Time by which the caller must be answered. */
    readonly deadlineAtMs: number;
    /** Time by which the latency target of the route is met. */
    readonly targetAtMs: number;
}
