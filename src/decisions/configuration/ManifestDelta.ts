import { ManifestPart } from "./ManifestPart.js";

/** Difference between two manifests. */
export interface ManifestDelta {
    /** Parts added or changed. */
    readonly set: readonly ManifestPart[];
    /** Keys of parts removed. */
    readonly removed: readonly string[];
}
