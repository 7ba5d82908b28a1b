import { Manifest } from "../Manifest.js";
import { ManifestPart } from "../ManifestPart.js";
import { ManifestParts } from "../ManifestParts.js";
import { partKey } from "../partKey/index.js";
import { PartKind } from "../PartKind.js";

/**
 * Splits a manifest into its parts.
 *
 * @param manifest - Validated manifest.
 * @returns The parts by key.
 * @example
 * splitManifest(manifest).get("fleet");
 */
export function splitManifest(manifest: Manifest): ManifestParts {
    const parts: ManifestPart[] = [
        { kind: PartKind.Fleet, value: manifest.fleet },
        ...manifest.services.map((value) => ({ kind: PartKind.Service as const, value })),
        ...manifest.routes.map((value) => ({ kind: PartKind.Route as const, value })),
        ...manifest.customers.map((value) => ({ kind: PartKind.Customer as const, value })),
    ];
    return new Map(parts.map((part) => [partKey(part), part]));
}
