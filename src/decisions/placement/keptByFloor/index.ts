import { Grade } from "../../fleet/Grade.js";
import { PlacementCandidate } from "../PlacementCandidate.js";

/** Part of a service's endpoints that is never ejected, whatever their gates say. */
const FLOOR_SHARE = 0.7;

/**
 * Names the ejected endpoints that get repeatable work all the same, since more than the floor allows are ejected: those
 * with the least evidence against them. All entries with the same reports name the same ones.
 *
 * Answers for a service most of whose endpoints fail at once, as when what they depend on fails.
 *
 * @param candidates - Gates of the service.
 * @returns VMs of the endpoints that are kept in service.
 * @example
 * keptByFloor(candidates).has("vm-1");
 */
export function keptByFloor(candidates: readonly PlacementCandidate[]): ReadonlySet<string> {
    const ejected = candidates.filter(({ load }) => load?.grade === Grade.Ejected);
    const mayEject = Math.floor(candidates.length * (1 - FLOOR_SHARE));
    const bySuspicion = [...ejected].sort((left, right) =>
        (right.load?.suspicion ?? 0) - (left.load?.suspicion ?? 0) || (left.record.vm < right.record.vm ? -1 : 1));
    return new Set(bySuspicion.slice(mayEject).map(({ record }) => record.vm));
}
