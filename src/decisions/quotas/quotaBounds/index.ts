import { OrganisationItem } from "../../items/OrganisationItem.js";
import { QuotaBounds } from "../QuotaBounds.js";
import { QuotaTerms } from "../QuotaTerms.js";

/** Share of the permitted excess for tokens that were granted before a window and are used in it. */
const LEASE_SHARE = 0.35;
/**
 * Share of the permitted excess for proxies without contact. The rest covers the time of messages, and the capacity of at least
 * one token of each control VM.
 */
const LOCAL_SHARE = 0.45;
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
        leaseMs: Math.min(MAX_LEASE_MS, LEASE_SHARE * excess / ratePerSecond * MS_PER_SECOND),
        localPerSecond,
        localHoldMs: localPerSecond > 0 ? localTokens / localPerSecond * MS_PER_SECOND - windowMs : 0,
    };
}
