import { isDeepStrictEqual } from "node:util";
import { ManifestDelta } from "../ManifestDelta.js";
import { ManifestParts } from "../ManifestParts.js";

/**
 * Computes the delta that turns one manifest into another.
 *
 * @param before - Parts of the older manifest.
 * @param after - Parts of the newer manifest.
 * @returns Parts to set and keys to remove; both empty if the manifests are equal.
 * @example
 * applyDelta(before, diffManifest(before, after)); // equals after
 */
export function diffManifest(before: ManifestParts, after: ManifestParts): ManifestDelta {
    const set = [...after].filter(([key, part]) => !isDeepStrictEqual(before.get(key), part)).map(([, part]) => part);
    const removed = [...before.keys()].filter((key) => !after.has(key));
    return { set, removed };
}
