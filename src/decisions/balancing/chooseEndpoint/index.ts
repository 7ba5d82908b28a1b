import { EndpointCandidate } from "../EndpointCandidate.js";

/**
 * Chooses an endpoint by the power of two choices: the less loaded of two random candidates (Mitzenmacher 2001,
 * "The Power of Two Choices in Randomized Load Balancing").
 *
 * @param candidates - Endpoints to choose from.
 * @param random - Random number generator; returns numbers from 0 (inclusive) to 1 (exclusive).
 * @returns The chosen candidate, or undefined if there is none.
 * @example
 * chooseEndpoint(candidates, Math.random)?.gate.vm;
 */
export function chooseEndpoint(
    candidates: readonly EndpointCandidate[],
    random: () => number,
): EndpointCandidate | undefined {
    const first = pickRandom(candidates, random);
    if (first === undefined || candidates.length === 1) {
        return first;
    }
    const second = pickRandom(candidates.filter((candidate) => candidate !== first), random);
    return second !== undefined && score(second) < score(first) ? second : first;
}

function pickRandom(candidates: readonly EndpointCandidate[], random: () => number): EndpointCandidate | undefined {
    return candidates[Math.floor(random() * candidates.length)];
}

function score(candidate: EndpointCandidate): number {
    return candidate.weight <= 0 ? Number.POSITIVE_INFINITY : candidate.loadPerSlot / candidate.weight;
}
