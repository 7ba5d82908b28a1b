import { MemberStamp } from "../MemberStamp.js";

/**
 * Tells whether one version of a member's record is newer than another of the same owner.
 *
 * @param candidate - Version that may be newer.
 * @param known - Version known, or undefined if there is none.
 * @returns True if the candidate replaces the known version.
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
