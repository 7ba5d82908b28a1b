import { RequestKind } from "../../model/RequestKind.js";
import { ItemKind } from "./ItemKind.js";
import { WeightedService } from "./WeightedService.js";

/** Where the requests of a host and path prefix go, and how they are treated. */
export interface RouteItem {
    readonly kind: ItemKind.Route;
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly requestKind: RequestKind;
    /** Longest time that a request is kept waiting. */
    readonly timeoutMs: number;
    /** Time within which an answer is worth its full value. */
    readonly targetLatencyMs: number;
    /** Rank; 0 is the highest. */
    readonly priority: number;
    /** Most endpoints that one request may reach. */
    readonly maxAttempts: number;
    /** Services that share the requests in proportion to their weights; one entry if there is no split. */
    readonly services: readonly WeightedService[];
}
