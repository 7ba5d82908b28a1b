import { compareUrgency } from "../compareUrgency/index.js";
import { OrganisationUse } from "../OrganisationUse/index.js";
import { ServingRequest } from "../ServingRequest.js";
import { WaitingTurn } from "../WaitingTurn.js";

/**
 * Assigns the waiting requests of organisations their turns: the more urgent ones first; among equally urgent ones those of the
 * organisation with the least recent use; then those that can still meet their target, by their targets. Each further request of an
 * organisation starts later by its cost, so that one organisation cannot take all turns.
 *
 * @param waiting - Waiting requests; those without an organisation are left out.
 * @param useOf - Returns the recent use of the endpoint by the organisations of a priority.
 * @param nowMs - Current time.
 * @param serviceMs - Mean service time.
 * @returns The requests with their start tags, the first to start first.
 * @example
 * assignTurns(waiting, useOf, nowMs, 300)[0]?.request; // the next to start
 */
export function assignTurns(
    waiting: readonly ServingRequest[],
    useOf: (organisationPriority: number) => OrganisationUse,
    nowMs: number,
    serviceMs: number,
): readonly WaitingTurn[] {
    const isLate = ({ targetAtMs }: ServingRequest): number => Number(nowMs + serviceMs > targetAtMs);
    const compareTargets = (left: ServingRequest, right: ServingRequest): number =>
        isLate(left) - isLate(right) || left.targetAtMs - right.targetAtMs;
    const nextTags = new Map<string, number>();
    const costs = new Map<string, number>();
    const turns = waiting
        .filter(({ organisation }) => organisation !== "")
        .sort((left, right) => compareUrgency(left, right) || compareTargets(left, right))
        .map((request): WaitingTurn => {
            const { organisation, organisationPriority } = request;
            const use = useOf(organisationPriority);
            const cost = costs.get(organisation) ?? use.cost(organisation, nowMs);
            const startTag = nextTags.get(organisation) ?? use.startTag(organisation);
            costs.set(organisation, cost);
            nextTags.set(organisation, startTag + cost);
            return { request, startTag };
        });
    return turns.sort((left, right) =>
        compareUrgency(left.request, right.request) || left.startTag - right.startTag || compareTargets(left.request, right.request));
}
