import { hasPrecedence } from "../hasPrecedence/index.js";
import { ServingRequest } from "../ServingRequest.js";

/**
 * Counts for each waiting request how many others are ahead of it, in one pass over the sorted queue: the last of several
 * equal requests tells the number for each of them.
 *
 * @param waiting - The waiting requests.
 * @returns The number of those ahead of each.
 * @example
 * countAhead([request]).get(request); // 0
 */
export function countAhead(waiting: readonly ServingRequest[]): ReadonlyMap<ServingRequest, number> {
    const lastFirst = [...waiting].sort((left, right) => right.priority - left.priority || right.targetAtMs - left.targetAtMs);
    const counts = new Map<ServingRequest, number>();
    let ahead = 0;
    let next: ServingRequest | undefined;
    for (const [index, request] of lastFirst.entries()) {
        if (next === undefined || !hasPrecedence(next, request)) {
            ahead = lastFirst.length - 1 - index;
        }
        counts.set(request, ahead);
        next = request;
    }
    return counts;
}
