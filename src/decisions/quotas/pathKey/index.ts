import { QuotaPath } from "../QuotaPath.js";

/**
 * Returns a key for a path to a control VM, for use in maps.
 *
 * @param path - Path.
 * @returns Equal keys for equal paths, different ones for others.
 * @example
 * pathKey({ vm: "control-1" }); // "control-1"
 */
export function pathKey({ vm, relay }: QuotaPath): string {
    // Names of VMs contain no line breaks.
    return relay === undefined ? vm : `${vm}\n${relay}`;
}
