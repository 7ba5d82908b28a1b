import { ConfigurationVersion } from "../../../model/ConfigurationVersion.js";

/**
 * Compares two configuration positions by version, then by term.
 *
 * @param left - One position.
 * @param right - The other position.
 * @returns Negative if left is older, 0 if equal, positive if left is newer.
 * @example
 * comparePositions({ term: 1, version: 2 }, { term: 1, version: 1 }); // 1
 */
export function comparePositions(left: ConfigurationVersion, right: ConfigurationVersion): number {
    return left.version - right.version || left.term - right.term;
}
