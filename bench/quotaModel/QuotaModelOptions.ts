import { OrganisationItem } from "../../src/decisions/items/OrganisationItem.js";

/** What `QuotaModel` is made of. */
export interface QuotaModelOptions {
    readonly proxyCount: number;
    readonly controlCount: number;
    /** Number of proxies that each proxy has tunnels to. */
    readonly tunnelCount: number;
    readonly failureDomainCount: number;
    /** Time of a message in one direction, in ms. */
    readonly oneWayMs: number;
    readonly organisations: readonly OrganisationItem[];
    /** Share of the requests that endpoints refuse within some ms without running them. */
    readonly refusedShare: number;
    readonly seed: number;
}
