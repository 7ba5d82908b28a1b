import { diffManifest } from "../diffManifest/index.js";
import { ManifestParts } from "../ManifestParts.js";
import { partKey } from "../partKey/index.js";

/**
 * Lists the keys of the parts in which two manifests differ.
 *
 * @param left - Parts of one manifest.
 * @param right - Parts of the other manifest.
 * @returns Sorted part keys.
 * @example
 * differingKeys(left, right); // ["service/lookup-front"]
 */
export function differingKeys(left: ManifestParts, right: ManifestParts): readonly string[] {
    const delta = diffManifest(left, right);
    return [...delta.set.map(partKey), ...delta.removed].sort();
}
