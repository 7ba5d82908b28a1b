import { EndpointCandidate } from "../EndpointCandidate.js";

/**
 * Chooses an endpoint by two random choices: the less loaded of two candidates drawn at random
 * (Mitzenmacher 2001, "The Power of Two Choices in Randomized Load Balancing").
 *
 * @param candidates - Endpoints to choose from.
 * @param random - Source of numbers from 0 up to, but not including, 1.
 * @returns The chosen candidate, or undefined if there is none.
 * @example
 * chooseEndpoint(candidates, Math.random)?.gate.vm;
 */
export function chooseEndpoint(
    candidates: readonly EndpointCandidate[],
    random: () => number,
): EndpointCandidate | undefined {
    const first = draw(candidates, random);
    if (first === undefined || candidates.length === 1) {
        return first;
    }
    const second = draw(candidates.filter((candidate) => candidate !== first), random);
    return second !== undefined && score(second) < score(first) ? second : first;
}

function draw(candidates: readonly EndpointCandidate[], random: () => number): EndpointCandidate | undefined {
    return candidates[Math.floor(random() * candidates.length)];
}

function score(candidate: EndpointCandidate): number {
    return candidate.weight <= 0 ? Number.POSITIVE_INFINITY : candidate.loadPerSlot / candidate.weight;
}
