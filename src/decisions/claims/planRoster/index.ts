import { MemberRecord } from "../../../model/MemberRecord.js";
import { MemberState } from "../../../model/MemberState.js";
import { Role } from "../../../model/Role.js";
import { Roster } from "../Roster.js";
import { RosterWitness } from "../RosterWitness.js";

/** Number of witnesses while there are fewer proxies than the target count. */
const FALLBACK_WITNESS_COUNT = 3;
/** Time after which a missing witness is replaced, in ms. */
const REPLACE_AFTER_MS = 600_000;

/**
 * Decides the next roster of witnesses: the first one as soon as there are enough proxies, a replacement when a witness has
 * been missing too long, and the end of a joint roster once claims made with the previous witnesses have expired.
 *
 * @param roster - Current roster, or undefined before the first.
 * @param members - Live members.
 * @param targetCount - Desired number of witnesses; three are chosen if there are fewer proxies than that.
 * @param missingSinceMs - Wall-clock times at which witnesses went missing, by VM, in ms.
 * @param retentionMs - Time for which claims are retained, in ms.
 * @param nowMs - Wall-clock time in ms.
 * @returns The next roster, or undefined if the current one needs no change.
 * @example
 * planRoster(undefined, members, 5, new Map(), 3_600_000, Date.now())?.witnesses.length; // 5
 */
export function planRoster(
    roster: Roster | undefined,
    members: readonly MemberRecord[],
    targetCount: number,
    missingSinceMs: ReadonlyMap<string, number>,
    retentionMs: number,
    nowMs: number,
): Roster | undefined {
    const candidates = members.filter((member) => member.roles.includes(Role.Proxy) && member.state === MemberState.Serving);
    const count = candidates.length >= targetCount ? targetCount : FALLBACK_WITNESS_COUNT;
    if (roster === undefined) {
        return candidates.length < count
            ? undefined
            : { epoch: 1, witnesses: chooseWitnesses([], candidates, count), previous: [], changedAtMs: nowMs };
    }
    if (roster.previous.length > 0) {
        return nowMs - roster.changedAtMs < retentionMs
            ? undefined
            : { ...roster, epoch: roster.epoch + 1, previous: [], changedAtMs: nowMs };
    }
    const kept = roster.witnesses.filter((witness) => nowMs - (missingSinceMs.get(witness.vm) ?? nowMs) < REPLACE_AFTER_MS);
    const isHealthy = kept.length === roster.witnesses.length && kept.length >= count;
    if (isHealthy || candidates.length < count) {
        return undefined;
    }
    const witnesses = chooseWitnesses(kept.slice(0, count), candidates, count);
    return { epoch: roster.epoch + 1, witnesses, previous: roster.witnesses, changedAtMs: nowMs };
}

function chooseWitnesses(kept: readonly RosterWitness[], candidates: readonly MemberRecord[], count: number): readonly RosterWitness[] {
    const chosen = [...kept];
    while (chosen.length < count) {
        const next = candidates
            .filter((member) => !chosen.some((witness) => witness.vm === member.vm))
            .map((member) => ({ member, sameDomainCount: chosen.filter((witness) => witness.failureDomain === member.failureDomain).length }))
            .sort((left, right) => left.sameDomainCount - right.sameDomainCount || (left.member.vm < right.member.vm ? -1 : 1))[0];
        if (next === undefined) {
            return chosen;
        }
        const { vm, incarnation, failureDomain, linkAddress } = next.member;
        chosen.push({ vm, incarnation, failureDomain, linkAddress });
    }
    return chosen;
}
