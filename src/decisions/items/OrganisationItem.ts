import { ItemKind } from "./ItemKind.js";

/** Organisation whose callers identify themselves by keys, and whose requests are limited across all proxies. */
export interface OrganisationItem {
    readonly kind: ItemKind.Organisation;
    readonly name: string;
    /** Keys of its callers; empty if all of them have been revoked. */
    readonly apiKeys: readonly string[];
    /** Priority of its requests, before that of the route; 0 is the highest. */
    readonly priority: number;
    /** Requests per second that all proxies together accept; 0 without a limit. */
    readonly ratePerSecond: number;
    /** Requests beyond the rate that may come at once. */
    readonly burst: number;
}
