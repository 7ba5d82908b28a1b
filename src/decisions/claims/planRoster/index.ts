import { MemberRecord } from "../../../model/MemberRecord.js";
import { MemberState } from "../../../model/MemberState.js";
import { Role } from "../../../model/Role.js";
import { Roster } from "../Roster.js";
import { RosterWitness } from "../RosterWitness.js";

const SMALL_ROSTER = 3;
const REPLACE_AFTER_MS = 600_000;

/**
 * Plans the next roster of witnesses: the first one as soon as there are enough proxies, then a replacement for
 * witnesses that are lost for good, and the end of the joint time once earlier claims have expired.
 *
 * @param roster - Roster in force, or undefined before the first.
 * @param members - Live members.
 * @param wantedCount - Witnesses wanted; three are taken if there are fewer proxies than that.
 * @param missingSinceMs - Times since which witnesses have been missing, by VM.
 * @param retentionMs - Time for which claims are held.
 * @param nowMs - Wall clock time.
 * @returns The next roster, or undefined if the one in force is right.
 * @example
 * planRoster(undefined, members, 5, new Map(), 3_600_000, Date.now())?.witnesses.length; // 5
 */
export function planRoster(
    roster: Roster | undefined,
    members: readonly MemberRecord[],
    wantedCount: number,
    missingSinceMs: ReadonlyMap<string, number>,
    retentionMs: number,
    nowMs: number,
): Roster | undefined {
    const candidates = members.filter((member) => member.roles.includes(Role.Proxy) && member.state === MemberState.Serving);
    const wanted = candidates.length >= wantedCount ? wantedCount : SMALL_ROSTER;
    if (roster === undefined) {
        return candidates.length < wanted
            ? undefined
            : { epoch: 1, witnesses: choose([], candidates, wanted), previous: [], changedAtMs: nowMs };
    }
    if (roster.previous.length > 0) {
        return nowMs - roster.changedAtMs < retentionMs
            ? undefined
            : { ...roster, epoch: roster.epoch + 1, previous: [], changedAtMs: nowMs };
    }
    const kept = roster.witnesses.filter((witness) => nowMs - (missingSinceMs.get(witness.vm) ?? nowMs) < REPLACE_AFTER_MS);
    const isRight = kept.length === roster.witnesses.length && kept.length >= wanted;
    if (isRight || candidates.length < wanted) {
        return undefined;
    }
    const witnesses = choose(kept.slice(0, wanted), candidates, wanted);
    return { epoch: roster.epoch + 1, witnesses, previous: roster.witnesses, changedAtMs: nowMs };
}

function choose(kept: readonly RosterWitness[], candidates: readonly MemberRecord[], wanted: number): readonly RosterWitness[] {
    const chosen = [...kept];
    while (chosen.length < wanted) {
        const next = candidates
            .filter((member) => !chosen.some((witness) => witness.vm === member.vm))
            .map((member) => ({ member, near: chosen.filter((witness) => witness.failureDomain === member.failureDomain).length }))
            .sort((left, right) => left.near - right.near || (left.member.vm < right.member.vm ? -1 : 1))[0];
        if (next === undefined) {
            return chosen;
        }
        const { vm, incarnation, failureDomain, linkAddress } = next.member;
        chosen.push({ vm, incarnation, failureDomain, linkAddress });
    }
    return chosen;
}
