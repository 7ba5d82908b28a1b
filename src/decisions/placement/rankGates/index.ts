import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { PlacementCandidate } from "../PlacementCandidate.js";

/** Service time assumed if no gate has reported one, in ms. */
const DEFAULT_SERVICE_MS = 300;
/** Factor on the service time of an endpoint after a cold start. */
const COLD_SERVICE_FACTOR = 1.3;
/** Resolution of scores, in ms: load reports are about this old, so smaller differences mean nothing. */
const WAIT_RESOLUTION_MS = 40;
/** Share of busy slots up to which busier endpoints are preferred for non-repeatable requests. */
const MAX_PACKED_SHARE = 0.6;
/** Penalty for a doubted endpoint, in ms; probes show whether it is healthy. */
const DOUBTED_PENALTY_MS = 400;
/** Bonus for an idle endpoint, in ms, so that slow endpoints are not starved. */
const IDLE_BONUS_MS = 10_000;
/** Penalty for an endpoint that sheds all requests, in ms; scaled by the share that it sheds. */
const SHED_PENALTY_MS = 400;
/** Penalty for an ejected endpoint, in ms: longer than any real wait. */
const EJECTED_PENALTY_MS = 100_000;
/** Penalty for a gate in another failure domain, in ms: about one round trip. */
const CROSS_DOMAIN_PENALTY_MS = 20;
/** The same for large answers and bodies, in ms: bandwidth between failure domains is expensive, so waiting for a local slot pays off. */
const CROSS_DOMAIN_LARGE_PENALTY_MS = 600;
/** Size from which a request body counts as large. */
const LARGE_BODY_BYTES = 16 * 1_024;
/** Penalty for an unreachable gate, in ms. */
const UNREACHABLE_PENALTY_MS = 1_000_000;

interface ScoredCandidate {
    readonly candidate: PlacementCandidate;
    readonly score: number;
    readonly tieBreaker: number;
}

/**
 * Ranks gates by how soon they are likely to answer a request: the expected wait for a slot plus the service time, with
 * penalties for distance and for the grade of the endpoint. Gates with the same score are ordered at random.
 *
 * Non-repeatable requests are packed onto endpoints that are already busy, up to a share of their slots: the outcomes of
 * these endpoints are the most recent, and fewer of the endpoints that begin to fail are running such a request. Other
 * requests can be retried; they are spread over all endpoints and so test the idle ones.
 *
 * Designed for many entries that place requests at the same time by load reports up to half a second old, and for services
 * of which a third of the endpoints begin to fail at any time while others have free slots.
 *
 * @param candidates - Gates of the service.
 * @param requestKind - Whether the request is repeatable, and whether its answer is large.
 * @param failureDomain - Failure domain of the entry.
 * @param bodyBytes - Size of the request body.
 * @param random - Source of numbers from 0 up to, but not including, 1.
 * @returns The candidates, best first.
 * @example
 * rankGates(candidates, RequestKind.Once, "muscat-a", 0, Math.random)[0]?.record.vm;
 */
export function rankGates(
    candidates: readonly PlacementCandidate[],
    requestKind: RequestKind,
    failureDomain: string,
    bodyBytes: number,
    random: () => number,
): readonly PlacementCandidate[] {
    const defaultServiceMs = meanServiceMs(candidates);
    const isLarge = requestKind === RequestKind.Download || bodyBytes >= LARGE_BODY_BYTES;
    const crossDomainMs = isLarge ? CROSS_DOMAIN_LARGE_PENALTY_MS : CROSS_DOMAIN_PENALTY_MS;
    const scored = candidates.map((candidate): ScoredCandidate => {
        const distanceMs = candidate.record.failureDomain === failureDomain ? 0 : crossDomainMs;
        return {
            candidate,
            score: Math.round((score(candidate, defaultServiceMs, requestKind) + distanceMs) / WAIT_RESOLUTION_MS),
            tieBreaker: random(),
        };
    });
    return scored
        .sort((left, right) => left.score - right.score || left.tieBreaker - right.tieBreaker)
        .map(({ candidate }) => candidate);
}

/** Mean over the gates that have reported; assumed for the others too, so that new endpoints get their share. */
function meanServiceMs(candidates: readonly PlacementCandidate[]): number {
    const reported = candidates.flatMap(({ load }) => load?.serviceMs ?? []);
    return reported.length === 0 ? DEFAULT_SERVICE_MS : reported.reduce((sum, serviceMs) => sum + serviceMs, 0) / reported.length;
}

function score(candidate: PlacementCandidate, defaultServiceMs: number, requestKind: RequestKind): number {
    const { load, record, offersSinceReport } = candidate;
    const slots = Math.max(1, load?.slots ?? record.endpoint?.slots ?? 1);
    const serviceMs = (load?.serviceMs ?? defaultServiceMs) * (candidate.isCold ? COLD_SERVICE_FACTOR : 1);
    const busy = (load === undefined ? 0 : load.running + load.queued) + offersSinceReport;
    const slotWaitMs = busy < slots ? 0 : (busy - slots + 1) * serviceMs / slots;
    const waitMs = Math.max(slotWaitMs, load?.limitWaitMs ?? 0);
    const isPacked = requestKind === RequestKind.Once && busy < MAX_PACKED_SHARE * slots;
    const spreadMs = (isPacked ? -1 : 1) * WAIT_RESOLUTION_MS * 2 * busy / slots;
    return waitMs + spreadMs + serviceMs / 2 + gradePenaltyMs(load?.grade ?? Grade.Trusted)
        + SHED_PENALTY_MS * (load?.shedShare ?? 0)
        + (candidate.isReachable ? 0 : UNREACHABLE_PENALTY_MS)
        - (hasIdleBonus(candidate, requestKind) ? IDLE_BONUS_MS : 0);
}

/** True for an idle endpoint that should get the request; a non-repeatable one only once it accepts any request as a probe. */
function hasIdleBonus({ load, offersSinceReport }: PlacementCandidate, requestKind: RequestKind): boolean {
    if (load === undefined || offersSinceReport > 0) {
        return false;
    }
    return requestKind === RequestKind.Once ? load.grade === Grade.Trusted && load.trialWish === ProbeDemand.Any : load.isIdle;
}

function gradePenaltyMs(grade: Grade): number {
    switch (grade) {
        case Grade.Trusted:
            return 0;
        case Grade.Doubted:
            return DOUBTED_PENALTY_MS;
        case Grade.Ejected:
            return EJECTED_PENALTY_MS;
    }
}
