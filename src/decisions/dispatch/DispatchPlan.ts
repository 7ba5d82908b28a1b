import { RequestKind } from "../../model/RequestKind.js";
import { CallerKind } from "./CallerKind.js";

/** Properties of a request that its dispatch depends on. */
export interface DispatchPlan {
    readonly requestKind: RequestKind;
    readonly callerKind: CallerKind;
    /** Maximum number of endpoints that may run the request. */
    readonly maxAttempts: number;
    /** Time by which the caller must be answered. */
    readonly deadlineAtMs: number;
    /** Time by which the latency target of the route is met. */
    readonly targetAtMs: number;
}
