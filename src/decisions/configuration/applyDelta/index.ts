import { ManifestDelta } from "../ManifestDelta.js";
import { ManifestParts } from "../ManifestParts.js";
import { partKey } from "../partKey/index.js";

/**
 * Applies a delta to the parts of a manifest.
 *
 * @param parts - Parts before; not mutated.
 * @param delta - Change to apply.
 * @returns Parts after.
 * @example
 * applyDelta(new Map(), { set: [part], removed: [] }).size; // 1
 */
export function applyDelta(parts: ManifestParts, delta: ManifestDelta): ManifestParts {
    const after = new Map(parts);
    delta.removed.forEach((key) => after.delete(key));
    delta.set.forEach((part) => after.set(partKey(part), part));
    return after;
}
