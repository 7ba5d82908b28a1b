import { ManifestPart } from "./ManifestPart.js";

/** The parts of a manifest, by part key. */
export type ManifestParts = ReadonlyMap<string, ManifestPart>;
