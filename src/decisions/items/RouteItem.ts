import { RequestKind } from "../../model/RequestKind.js";
import { ItemKind } from "./ItemKind.js";
import { WeightedService } from "./WeightedService.js";

/** Route of the requests for a host and path prefix: their services and how they are handled. */
export interface RouteItem {
    readonly kind: ItemKind.Route;
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly requestKind: RequestKind;
    /** Maximum time until a request is answered. */
    readonly timeoutMs: number;
    /** Latency target: time within which a request should be answered. */
    readonly targetLatencyMs: number;
    /** Priority of its requests; 0 is the highest. */
    readonly priority: number;
    /** Maximum number of endpoints that may run one request. */
    readonly maxAttempts: number;
    /** True if its requests have large bodies. */
    readonly hasLargeBodies: boolean;
    /** True if its requests need no key of an organisation. */
    readonly isKeyExempt: boolean;
    /** Services that share the requests in proportion to their weights; one element if there is no traffic split. */
    readonly services: readonly WeightedService[];
}
