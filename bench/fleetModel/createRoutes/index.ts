import { ItemKind } from "../../../src/decisions/items/ItemKind.js";
import { VersionedItem } from "../../../src/decisions/items/VersionedItem.js";
import { RequestKind } from "../../../src/model/RequestKind.js";
import { MODEL_HOST } from "../modelHost.js";
import { ModelService } from "../ModelService.js";

const TARGET_LATENCY_MS = 4_000;
const TIMEOUT_MS = 10_000;
const MAX_ATTEMPTS = 2;

/**
 * Creates the routes of a service of a `FleetModel`: one for repeatable and one for non-repeatable requests, and as many for its
 * short calls.
 *
 * @param service - The service.
 * @returns Its routes, with the paths `/<service>/<kind>/`.
 * @example
 * createRoutes(service).length; // 2
 */
export function createRoutes(service: ModelService): readonly VersionedItem[] {
    return [...createRoutesUnder(service, ""), ...service.shortShare === undefined ? [] : createRoutesUnder(service, "short/")];
}

function createRoutesUnder(service: ModelService, suffix: string): readonly VersionedItem[] {
    const { name, targetLatencyMs, bodyBytes, responseBytes, fullSlowness } = service;
    return [RequestKind.Repeatable, RequestKind.Once].map((requestKind) => ({
        key: `route/${name}-${requestKind}${suffix}`,
        version: 1,
        document: "",
        content: {
            kind: ItemKind.Route,
            name: `${name}-${requestKind}${suffix}`,
            host: MODEL_HOST,
            pathPrefix: `/${name}/${requestKind}/${suffix}`,
            requestKind,
            timeoutMs: TIMEOUT_MS,
            targetLatencyMs: targetLatencyMs ?? TARGET_LATENCY_MS,
            priority: 1,
            maxAttempts: MAX_ATTEMPTS,
            hasLargeBodies: bodyBytes !== undefined || responseBytes !== undefined || fullSlowness !== undefined,
            isKeyExempt: false,
            services: [{ service: name, weight: 1 }],
        },
    }));
}
