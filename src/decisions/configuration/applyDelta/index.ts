import { ManifestDelta } from "../ManifestDelta.js";
import { ManifestParts } from "../ManifestParts.js";
import { partKey } from "../partKey/index.js";

/**
 * Applies a delta to the parts of a manifest.
 *
 * @param parts - Original parts; not mutated.
 * @param delta - Change to apply.
 * @returns Parts with the delta applied.
 * @example
 * applyDelta(new Map(), { set: [part], removed: [] }).size; // 1
 */
export function applyDelta(parts: ManifestParts, delta: ManifestDelta): ManifestParts {
    const result = new Map(parts);
    delta.removed.forEach((key) => result.delete(key));
    delta.set.forEach((part) => result.set(partKey(part), part));
    return result;
}
