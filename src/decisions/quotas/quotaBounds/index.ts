import { OrganisationItem } from "../../items/OrganisationItem.js";
import { QuotaBounds } from "../QuotaBounds.js";
import { QuotaTerms } from "../QuotaTerms.js";

/** Share of the permitted excess for tokens that were granted before a window and are used in it. */
const LEASE_SHARE = 0.25;
/** Share of the permitted excess for proxies without contact. */
const LOCAL_SHARE = 0.25;
/**
 * Share of the permitted excess that the buckets of the control VMs hold beyond the burst. Without it, random gaps between the requests of
 * an organisation at its usual load had 4 of 100 refused, since parts of tokens are spread over the buckets. The remaining shares are for
 * the time of messages.
 */
const CAPACITY_SHARE = 0.35;
/** Longer than the time in which a control VM has to reply, so that each reply can be used. */
const MIN_LEASE_MS = 200;
const MAX_LEASE_MS = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Divides the permitted excess over the quota of an organisation among the ways in which it can come about. All of them can
 * happen in the same window: control VMs grant their full shares to some proxies while others have no contact.
 *
 * @param organisation - Organisation with a limit.
 * @param terms - Permitted excess.
 * @returns The limits on leases and on grants without contact.
 * @example
 * quotaBounds(organisation, { windowMs: 5_000, overshoot: 0.1, slack: 20 }).leaseMs;
 */
export function quotaBounds({ ratePerSecond, burst }: OrganisationItem, { windowMs, overshoot, slack }: QuotaTerms): QuotaBounds {
    const windowSeconds = windowMs / MS_PER_SECOND;
    const excess = overshoot * (ratePerSecond * windowSeconds + burst) + slack;
    const localTokens = LOCAL_SHARE * excess;
    const localPerSecond = Math.min(ratePerSecond, localTokens / (2 * windowSeconds));
    return {
        capacity: burst + CAPACITY_SHARE * excess,
        leaseMs: Math.max(MIN_LEASE_MS, Math.min(MAX_LEASE_MS, LEASE_SHARE * excess / ratePerSecond * MS_PER_SECOND)),
        localPerSecond,
        localHoldMs: localPerSecond > 0 ? localTokens / localPerSecond * MS_PER_SECOND - windowMs : 0,
    };
}
