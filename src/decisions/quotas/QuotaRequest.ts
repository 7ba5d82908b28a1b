import { OrganisationItem } from "../items/OrganisationItem.js";

/** A request that needs a token. */
export interface QuotaRequest {
    /** Number of the request, unique within the process. */
    readonly request: number;
    readonly organisation: OrganisationItem;
    readonly deadlineAtMs: number;
}
