import { ServingRequest } from "../ServingRequest.js";

/** What decides on the order of waiting requests. */
type Rank = Pick<ServingRequest, "priority" | "targetAtMs">;

/**
 * Checks whether a request is ahead of another in the queue, by priority and then by target. Equal requests are ahead of each
 * other.
 *
 * @param left - The request.
 * @param right - The other request.
 * @returns True if it is ahead.
 * @example
 * hasPrecedence({ priority: 0, targetAtMs: 9 }, { priority: 1, targetAtMs: 5 }); // true
 */
export function hasPrecedence(left: Rank, right: Rank): boolean {
    return left.priority < right.priority || (left.priority === right.priority && left.targetAtMs <= right.targetAtMs);
}
