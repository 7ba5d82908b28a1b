import { assertNever } from "../../../src/model/assertNever/index.js";
import { DiskProfile } from "../DiskProfile.js";
import { DiskProfileKind } from "../DiskProfileKind.js";

/** Deviation of a sync from its usual time, as a share of that time. */
const SPREAD = 0.3;

/**
 * Draws the time of one sync of a simulated disk.
 *
 * @param profile - Profile of the disk.
 * @param random - Random number generator with values in [0, 1).
 * @returns Time in ms; infinite while the disk is hung.
 * @example
 * drawSyncMs({ kind: DiskProfileKind.Steady, syncMs: 10 }, () => 0.5); // 10
 */
export function drawSyncMs(profile: DiskProfile, random: () => number): number {
    const factor = 1 - SPREAD + 2 * SPREAD * random();
    switch (profile.kind) {
        case DiskProfileKind.Steady:
            return profile.syncMs * factor;
        case DiskProfileKind.Uneven:
            return (random() < profile.slowShare ? profile.slowSyncMs : profile.syncMs) * factor;
        case DiskProfileKind.Hung:
            return Number.POSITIVE_INFINITY;
        default:
            return assertNever(profile);
    }
}
