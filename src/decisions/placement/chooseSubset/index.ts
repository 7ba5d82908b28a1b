/** Services with no more gates are used whole: their load evens out best over all of them. */
const WHOLE_GATES = 18;
/** Gates of a larger service that an entry uses as long as they serve. */
const SUBSET_GATES = 12;
/** Gates with room that a subset has to have; with fewer, many entries would turn to the same gate. */
const MIN_USABLE = 3;

/**
 * Chooses the gates of a service that an entry places its requests at. The subset is doubled until enough of its gates
 * have room, so that a gray failure domain or a surge is answered by the whole service.
 *
 * Answers for services of hundreds of gates, at which each entry has few requests under way: connections to a few gates
 * are used again, where a new one for each request would cost more than the request.
 *
 * @param gates - Gates of the service, in the entry's order of preference.
 * @param isUsable - True for a gate that can be reached, is trusted and has a free slot.
 * @returns The gates to choose from.
 * @example
 * chooseSubset(index.serving("orders"), hasRoom).length; // 12
 */
export function chooseSubset<T>(gates: readonly T[], isUsable: (gate: T) => boolean): readonly T[] {
    if (gates.length <= WHOLE_GATES) {
        return gates;
    }
    let size = SUBSET_GATES;
    let usable = 0;
    for (let index = 0; index < gates.length; index += 1) {
        if (index === size) {
            if (usable >= MIN_USABLE) {
                break;
            }
            size *= 2;
        }
        const gate = gates[index];
        usable += gate !== undefined && isUsable(gate) ? 1 : 0;
    }
    return gates.slice(0, size);
}
