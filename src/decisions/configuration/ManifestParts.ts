import { ManifestPart } from "./ManifestPart.js";

/** A manifest cut into its parts, by part key. */
export type ManifestParts = ReadonlyMap<string, ManifestPart>;
