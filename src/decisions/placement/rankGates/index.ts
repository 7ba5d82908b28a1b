import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { crossingMarginMs } from "../crossingMarginMs/index.js";
import { PlacementCandidate } from "../PlacementCandidate.js";
import { PlacementPolicy } from "../PlacementPolicy.js";
import { PlacementRequest } from "../PlacementRequest.js";

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
/** The same for downloads and large bodies where requests are placed by the soonest answer, in ms. */
const CROSS_DOMAIN_LARGE_PENALTY_MS = 600;
/** Size from which a request body counts as large there. */
const LARGE_BODY_BYTES = 16 * 1_024;
/**
 * Share of the time until the latency target within which a request must be expected to finish to count as in time: service
 * times vary by some 30 %, and reports of load are up to half a second old.
 */
const TIMELY_SHARE = 0.75;
/** Penalty for an unreachable gate, in ms. */
const UNREACHABLE_PENALTY_MS = 1_000_000;

/**
 * Time without a request from which an endpoint is probed by large requests of other failure domains too, in ms: late enough for
 * the entries of its own, which are invited first, and soon enough for the 2 s within which a healthy endpoint must get one.
 */
const MIN_CROSSING_PROBE_MS = 1_400;

/** Maximum margin while the request has to wait for long wherever it goes, in ms: less than a usual request runs. */
const MAX_LATE_MARGIN_MS = 600;
/** Share of the margin for which an offer with a large body may wait in another failure domain, so that its bytes cross only once. */
const ACCEPTED_WAIT_SHARE = 0.25;
/** Share of free slots of a service up to which no request waits in its own failure domain: each slot is needed at once. */
const MIN_FREE_SHARE = 0.25;
/** Share of free slots from which a request waits for the whole margin. */
const AMPLE_FREE_SHARE = 0.5;

interface ScoredCandidate {
    readonly candidate: PlacementCandidate;
    readonly score: number;
    readonly tieBreaker: number;
}

/**
 * Ranks gates by how soon they are likely to answer a request: the expected wait for a slot plus the service time, with
 * penalties for distance and for the grade of the endpoint. The wait depends on the mean time of all requests there, the
 * service time on that of requests of this route. Gates with the same score are ordered at random.
 *
 * While the request is expected to meet its latency target in the entry's own failure domain, a gate in another one must be
 * earlier by a margin that grows with the bytes that would cross, and an idle endpoint there gets the request only if its gate
 * has invited this entry: all entries read the same report of it. If the request is expected to meet its target in another
 * domain only, the caller's answer counts alone. Requests of few bytes have no margin.
 *
 * Non-repeatable requests are packed onto endpoints that are already busy, up to a share of their slots: the outcomes of
 * these endpoints are the most recent, and fewer of the endpoints that begin to fail are running such a request. Other
 * requests can be retried; they are spread over all endpoints and so test the idle ones.
 *
 * Designed for many entries that place requests at the same time by load reports up to half a second old, and for services
 * of which a third of the endpoints begin to fail at any time while others have free slots.
 *
 * @param candidates - Gates of the service.
 * @param request - The request.
 * @param failureDomain - Failure domain of the entry.
 * @param random - Source of numbers from 0 up to, but not including, 1.
 * @returns The candidates, best first.
 * @example
 * rankGates(candidates, request, "muscat-a", Math.random)[0]?.record.vm;
 */
export function rankGates(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    failureDomain: string,
    random: () => number,
): readonly PlacementCandidate[] {
    if (request.policy === PlacementPolicy.Soonest) {
        return rankBySoonestAnswer(candidates, request, failureDomain, random);
    }
    const { requestKind, transferBytes, serviceRatio, targetRemainingMs } = request;
    const defaultServiceMs = meanServiceMs(candidates);
    const marginMs = crossingMarginMs(transferBytes, requestKind);
    const isLocal = ({ record }: PlacementCandidate): boolean => record.failureDomain === failureDomain;
    const slackMs = (candidate: PlacementCandidate, timelyShare = TIMELY_SHARE): number =>
        timelyShare * targetRemainingMs - serviceRatio * serviceMsOf(candidate, defaultServiceMs);
    const patience = patienceShare(candidates);
    const isTimely = (candidate: PlacementCandidate, maxWaitMs: number): boolean =>
        isTrusted(candidate) && waitMsOf(candidate, defaultServiceMs) <= maxWaitMs;
    const local = candidates.filter(isLocal);
    const prefersLocal = marginMs > 0 && local.some((candidate) => isTimely(candidate, Math.min(patience * marginMs, slackMs(candidate))));
    const isOnlyTimelyElsewhere = !local.some((candidate) => isTimely(candidate, slackMs(candidate)))
        && candidates.some((candidate) => !isLocal(candidate) && isTimely(candidate, slackMs(candidate, 1)));
    const lateMarginMs = isOnlyTimelyElsewhere ? 0 : Math.min(MAX_LATE_MARGIN_MS, marginMs);
    const crossDomainMs = CROSS_DOMAIN_PENALTY_MS + (prefersLocal ? marginMs : lateMarginMs);
    const scoreMs = (candidate: PlacementCandidate): number => score(candidate, defaultServiceMs, request)
        + (isLocal(candidate) ? 0 : crossDomainMs)
        - (hasIdleBonus(candidate, requestKind) && (isLocal(candidate) || !prefersLocal) ? IDLE_BONUS_MS : 0);
    const scored = candidates.map((candidate): ScoredCandidate => ({
        candidate: {
            ...candidate,
            preferredWaitMs: isLocal(candidate) && prefersLocal ? Math.max(0, Math.min(patience * marginMs, slackMs(candidate))) : 0,
            acceptedWaitMs: isLocal(candidate) ? 0 : Math.max(0, Math.min(ACCEPTED_WAIT_SHARE * marginMs, slackMs(candidate))),
            isCostlyToProbe: !isLocal(candidate) && prefersLocal && patience === 1 && (candidate.waitingMs ?? 0) < MIN_CROSSING_PROBE_MS,
        },
        score: Math.round(scoreMs(candidate) / WAIT_RESOLUTION_MS),
        tieBreaker: random(),
    }));
    return sortByScore(scored);
}

function rankBySoonestAnswer(
    candidates: readonly PlacementCandidate[],
    request: PlacementRequest,
    failureDomain: string,
    random: () => number,
): readonly PlacementCandidate[] {
    const defaultServiceMs = meanServiceMs(candidates);
    const isLarge = request.requestKind === RequestKind.Download || request.transferBytes >= LARGE_BODY_BYTES;
    const crossDomainMs = isLarge ? CROSS_DOMAIN_LARGE_PENALTY_MS : CROSS_DOMAIN_PENALTY_MS;
    const scoreMs = (candidate: PlacementCandidate): number => score(candidate, defaultServiceMs, request)
        + (candidate.record.failureDomain === failureDomain ? 0 : crossDomainMs)
        - (hasIdleBonus(candidate, request.requestKind) ? IDLE_BONUS_MS : 0);
    return sortByScore(candidates.map((candidate): ScoredCandidate => ({
        candidate,
        score: Math.round(scoreMs(candidate) / WAIT_RESOLUTION_MS),
        tieBreaker: random(),
    })));
}

function sortByScore(scored: readonly ScoredCandidate[]): readonly PlacementCandidate[] {
    return [...scored]
        .sort((left, right) => left.score - right.score || left.tieBreaker - right.tieBreaker)
        .map(({ candidate }) => candidate);
}

function isTrusted({ load, isReachable, hasRefused }: PlacementCandidate): boolean {
    return isReachable && !hasRefused && (load?.grade ?? Grade.Trusted) === Grade.Trusted;
}

/** Mean over the gates that have reported; assumed for the others too, so that new endpoints get their share. */
function meanServiceMs(candidates: readonly PlacementCandidate[]): number {
    const reported = candidates.flatMap(({ load }) => load?.serviceMs ?? []);
    return reported.length === 0 ? DEFAULT_SERVICE_MS : reported.reduce((sum, serviceMs) => sum + serviceMs, 0) / reported.length;
}

function score(candidate: PlacementCandidate, defaultServiceMs: number, { requestKind, serviceRatio }: PlacementRequest): number {
    const { load } = candidate;
    const slots = slotsOf(candidate);
    const busy = busyOf(candidate);
    const isPacked = requestKind === RequestKind.Once && busy < MAX_PACKED_SHARE * slots;
    const spreadMs = (isPacked ? -1 : 1) * WAIT_RESOLUTION_MS * 2 * busy / slots;
    return waitMsOf(candidate, defaultServiceMs) + spreadMs + serviceRatio * serviceMsOf(candidate, defaultServiceMs) / 2
        + gradePenaltyMs(load?.grade ?? Grade.Trusted)
        + SHED_PENALTY_MS * (load?.shedShare ?? 0)
        + (candidate.isReachable ? 0 : UNREACHABLE_PENALTY_MS);
}

/**
 * Share of the margin for which a request may wait in its own failure domain, by the share of free slots of its service. A
 * request that waits while another domain has a free slot leaves that unused; with few of them, later requests would lack it.
 */
function patienceShare(candidates: readonly PlacementCandidate[]): number {
    const trusted = candidates.filter(isTrusted);
    const slots = trusted.reduce((sum, candidate) => sum + slotsOf(candidate), 0);
    const free = trusted.reduce((sum, candidate) => sum + Math.max(0, slotsOf(candidate) - busyOf(candidate)), 0);
    return slots === 0 ? 0 : Math.min(1, Math.max(0, (free / slots - MIN_FREE_SHARE) / (AMPLE_FREE_SHARE - MIN_FREE_SHARE)));
}

function slotsOf({ load, record }: PlacementCandidate): number {
    return Math.max(1, load?.slots ?? record.endpoint?.slots ?? 1);
}

/** Requests at the gate, including those that this entry has offered since its report. */
function busyOf({ load, offersSinceReport }: PlacementCandidate): number {
    return (load === undefined ? 0 : load.running + load.queued) + offersSinceReport;
}

/** Mean time over all requests of the endpoint, by which slots become free. */
function serviceMsOf({ load, isCold }: PlacementCandidate, defaultServiceMs: number): number {
    return (load?.serviceMs ?? defaultServiceMs) * (isCold ? COLD_SERVICE_FACTOR : 1);
}

/** Expected wait for a slot and for the limit of the endpoint. */
function waitMsOf(candidate: PlacementCandidate, defaultServiceMs: number): number {
    const slots = slotsOf(candidate);
    const busy = busyOf(candidate);
    const slotWaitMs = busy < slots ? 0 : (busy - slots + 1) * serviceMsOf(candidate, defaultServiceMs) / slots;
    return Math.max(slotWaitMs, candidate.load?.limitWaitMs ?? 0);
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
