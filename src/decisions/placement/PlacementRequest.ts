import { RequestKind } from "../../model/RequestKind.js";
import { PlacementPolicy } from "./PlacementPolicy.js";

/** Properties of a request that its placement depends on. */
export interface PlacementRequest {
    readonly policy: PlacementPolicy;
    /** Whether it is repeatable, and whether its answer is large. */
    readonly requestKind: RequestKind;
    /** Bytes that pass between the entry and the gate: the request body and, by `NearestInTime`, the usual response body of the route. */
    readonly transferBytes: number;
    /** How long it runs in proportion to the mean over all requests of its endpoint; see `RouteTimes`. */
    readonly serviceRatio: number;
    /** Time until the latency target of the route is missed, in ms; may be negative. */
    readonly targetRemainingMs: number;
}
