import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { PlacementCandidate } from "../PlacementCandidate.js";

/** Service time assumed if no gate has reported, in ms. */
const UNKNOWN_SERVICE_MS = 300;
/** Factor on the service time of an endpoint that has just started. */
const COLD_FACTOR = 1.3;
/** Waits that differ by less are equal, in ms: load reports are this old. */
const EQUAL_WAIT_MS = 40;
/** Part of its slots up to which an endpoint that is at work goes before one with less for work that must not be repeated. */
const PACKED_SHARE = 0.6;
/** Wait that a doubted endpoint is charged, in ms; trials show what it is worth. */
const DOUBT_WAIT_MS = 400;
/** Wait that a trusted endpoint without work is credited with, in ms, so that slow ones are not left without any. */
const IDLE_CREDIT_MS = 10_000;
/** Wait that an endpoint is charged which turns all requests away, in ms; less in proportion. */
const SHED_WAIT_MS = 400;
/** Wait that an ejected endpoint is charged, in ms; above any real wait. */
const EJECTED_WAIT_MS = 100_000;
/** Wait that a gate of another failure domain is charged, in ms: about what the way there and back takes. */
const OTHER_DOMAIN_WAIT_MS = 20;
/** The same for large answers and bodies, in ms: bandwidth between failure domains is dear, and a free slot nearby is worth a wait. */
const OTHER_DOMAIN_LARGE_WAIT_MS = 600;
/** Bytes from which the body of a request is large. */
const LARGE_BODY_BYTES = 16 * 1_024;
/** Wait that a gate is charged that cannot be reached, in ms. */
const UNREACHABLE_WAIT_MS = 1_000_000;

interface Scored {
    readonly candidate: PlacementCandidate;
    readonly score: number;
    readonly tie: number;
}

/**
 * Orders gates by where a request is likely to be answered first: the expected wait for a slot and the time of the work,
 * with trust in the endpoint and the distance counted in. Gates of the same score are ordered by chance.
 *
 * Work that must not be repeated goes to endpoints that are at work already, up to a part of their slots: their outcomes
 * are the freshest, and of the endpoints that begin to fail, fewer take a request with them. Other work, which can be
 * tried again, spreads over all and shows what the idle ones are worth.
 *
 * Answers for many entries that place at the same time by reports up to half a second old, and for services of which a
 * third of the endpoints begin to fail at any time while others have slots to spare.
 *
 * @param candidates - Gates of the service.
 * @param requestKind - Whether the request may be repeated.
 * @param failureDomain - Failure domain of the entry.
 * @param bodyBytes - Bytes of the request's body.
 * @param random - Source of numbers from 0 up to, but not including, 1.
 * @returns The candidates, the best one first.
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
    const usualServiceMs = meanServiceMs(candidates);
    const isLarge = requestKind === RequestKind.Download || bodyBytes >= LARGE_BODY_BYTES;
    const awayMs = isLarge ? OTHER_DOMAIN_LARGE_WAIT_MS : OTHER_DOMAIN_WAIT_MS;
    const scored = candidates.map((candidate): Scored => {
        const distanceMs = candidate.record.failureDomain === failureDomain ? 0 : awayMs;
        return {
            candidate,
            score: Math.round((score(candidate, usualServiceMs, requestKind) + distanceMs) / EQUAL_WAIT_MS),
            tie: random(),
        };
    });
    return scored
        .sort((left, right) => left.score - right.score || left.tie - right.tie)
        .map(({ candidate }) => candidate);
}

/** A gate that has not reported is taken for one as fast as the others, so that new endpoints get their share. */
function meanServiceMs(candidates: readonly PlacementCandidate[]): number {
    const known = candidates.flatMap(({ load }) => load?.serviceMs ?? []);
    return known.length === 0 ? UNKNOWN_SERVICE_MS : known.reduce((sum, serviceMs) => sum + serviceMs, 0) / known.length;
}

function score(candidate: PlacementCandidate, usualServiceMs: number, requestKind: RequestKind): number {
    const { load, record, offeredSince } = candidate;
    const slots = Math.max(1, load?.slots ?? record.endpoint?.slots ?? 1);
    const serviceMs = (load?.serviceMs ?? usualServiceMs) * (candidate.isCold ? COLD_FACTOR : 1);
    const busy = (load === undefined ? 0 : load.running + load.queued) + offeredSince;
    const waitMs = busy < slots ? 0 : (busy - slots + 1) * serviceMs / slots;
    const isPacked = requestKind === RequestKind.Once && busy < PACKED_SHARE * slots;
    const spreadMs = (isPacked ? -1 : 1) * EQUAL_WAIT_MS * 2 * busy / slots;
    return waitMs + spreadMs + serviceMs / 2 + trustPenaltyMs(load?.grade ?? Grade.Trusted)
        + SHED_WAIT_MS * (load?.shedShare ?? 0)
        + (candidate.isReachable ? 0 : UNREACHABLE_WAIT_MS)
        - (wantsWork(candidate, requestKind) ? IDLE_CREDIT_MS : 0);
}

/** True for an endpoint without work: work that must not be repeated is left to the last moment at which it has to get some. */
function wantsWork({ load, offeredSince }: PlacementCandidate, requestKind: RequestKind): boolean {
    if (load === undefined || offeredSince > 0) {
        return false;
    }
    return requestKind === RequestKind.Once ? load.grade === Grade.Trusted && load.trialWish === TrialWish.Any : load.isIdle;
}

function trustPenaltyMs(grade: Grade): number {
    switch (grade) {
        case Grade.Trusted:
            return 0;
        case Grade.Doubted:
            return DOUBT_WAIT_MS;
        case Grade.Ejected:
            return EJECTED_WAIT_MS;
    }
}
