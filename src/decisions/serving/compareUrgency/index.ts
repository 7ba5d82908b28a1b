import { ServingRequest } from "../ServingRequest.js";

/** What decides on the urgency of a request. */
type Urgency = Pick<ServingRequest, "organisation" | "organisationPriority" | "priority">;

/**
 * Compares two requests by urgency: calls without organisation first, as running requests wait for them, then the priority of the
 * organisation, then that of the route.
 *
 * @param left - One request.
 * @param right - The other request.
 * @returns A negative number if the left one is more urgent, 0 if they are equally urgent.
 * @example
 * compareUrgency(call, requestOfAnOrganisation); // negative
 */
export function compareUrgency(left: Urgency, right: Urgency): number {
    return Number(left.organisation !== "") - Number(right.organisation !== "")
        || left.organisationPriority - right.organisationPriority
        || left.priority - right.priority;
}
