import { OrganisationItem } from "../decisions/items/OrganisationItem.js";
import { QuotaDecision } from "../decisions/quotas/QuotaDecision.js";

/** Decides whether requests are within the quota of their organisation. */
export interface QuotaPort {
    /**
     * Takes a token for a request.
     *
     * @param organisation - Organisation of the caller; has a limit.
     * @param deadlineAtMs - Time by which the decision is needed.
     * @param onDecision - Called once with the decision, possibly before this method returns.
     */
    acquire(organisation: OrganisationItem, deadlineAtMs: number, onDecision: (decision: QuotaDecision) => void): void;
    /**
     * Returns the token of a request that has not run and never will.
     *
     * @param organisation - Name of the organisation.
     * @param expiresAtMs - Time until which the token may be used, as granted.
     */
    giveBack(organisation: string, expiresAtMs: number): void;
}
