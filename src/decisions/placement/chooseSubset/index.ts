/** Largest number of gates that an entry uses without subsetting: a small service balances best over all of its gates. */
const MAX_GATES_WITHOUT_SUBSET = 18;
/** Number of gates that an entry uses of a larger service, as long as enough of them are usable. */
const INITIAL_SUBSET_GATES = 12;
/** Minimum number of usable gates in a subset; with fewer, many entries would converge on the same gate. */
const MIN_USABLE_GATES = 3;

/**
 * Chooses the subset of a service's gates to which an entry sends its requests. The subset is doubled until enough of its
 * gates are usable, so that during a gray failure of a failure domain or a surge the whole service takes the load.
 *
 * Designed for services of hundreds of gates of which each entry has only a few requests in flight: with few gates,
 * connections are reused, while opening one for each request would cost more than the request.
 *
 * @param gates - Gates of the service, in the entry's order of preference.
 * @param isUsable - Whether a gate is reachable, has a trusted endpoint and has a free slot.
 * @returns The subset, in the same order.
 * @example
 * chooseSubset(index.serving("orders"), hasFreeSlot).length; // 12
 */
export function chooseSubset<T>(gates: readonly T[], isUsable: (gate: T) => boolean): readonly T[] {
    if (gates.length <= MAX_GATES_WITHOUT_SUBSET) {
        return gates;
    }
    let size = INITIAL_SUBSET_GATES;
    let usable = 0;
    for (let index = 0; index < gates.length; index += 1) {
        if (index === size) {
            if (usable >= MIN_USABLE_GATES) {
                break;
            }
            size *= 2;
        }
        const gate = gates[index];
        usable += gate !== undefined && isUsable(gate) ? 1 : 0;
    }
    return gates.slice(0, size);
}
