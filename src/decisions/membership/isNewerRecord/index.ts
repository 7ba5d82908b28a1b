import { MemberStamp } from "../MemberStamp.js";

/**
 * Compares two versions of a member's record.
 *
 * @param candidate - Version that may be newer.
 * @param known - Known version, or undefined if there is none.
 * @returns True if the candidate is newer and replaces the known version.
 * @example
 * isNewerRecord({ vm: "a", startedAtMs: 2, sequence: 1 }, { vm: "a", startedAtMs: 1, sequence: 9 }); // true
 */
export function isNewerRecord(candidate: MemberStamp, known: MemberStamp | undefined): boolean {
    if (known === undefined) {
        return true;
    }
    return candidate.startedAtMs > known.startedAtMs
        || (candidate.startedAtMs === known.startedAtMs && candidate.sequence > known.sequence);
}
