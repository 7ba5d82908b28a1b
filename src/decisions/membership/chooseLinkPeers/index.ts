import { MemberRecord } from "../../../model/MemberRecord.js";

const LINKS_WANTED = 5;
const LINKS_IN_OWN_DOMAIN = 2;

/**
 * Chooses the members to which a process should open links: a few, most of them in other failure domains.
 *
 * @param self - Own record's VM and failure domain.
 * @param linked - VMs to which links are open.
 * @param members - Live members.
 * @param random - Source of numbers from 0 up to, but not including, 1.
 * @returns Members to connect to now; empty while enough links are open.
 * @example
 * chooseLinkPeers(self, new Set(), members, Math.random);
 */
export function chooseLinkPeers(
    self: Pick<MemberRecord, "vm" | "failureDomain">,
    linked: ReadonlySet<string>,
    members: readonly MemberRecord[],
    random: () => number,
): readonly MemberRecord[] {
    const others = members.filter((member) => member.vm !== self.vm);
    const isNear = (member: MemberRecord): boolean => member.failureDomain === self.failureDomain;
    const near = others.filter(isNear);
    const far = others.filter((member) => !isNear(member));
    const nearWanted = far.length === 0 ? LINKS_WANTED : LINKS_IN_OWN_DOMAIN;
    const farWanted = near.length === 0 ? LINKS_WANTED : LINKS_WANTED - LINKS_IN_OWN_DOMAIN;
    return [...pick(near, nearWanted, linked, random), ...pick(far, farWanted, linked, random)];
}

function pick(
    candidates: readonly MemberRecord[],
    wanted: number,
    linked: ReadonlySet<string>,
    random: () => number,
): readonly MemberRecord[] {
    const missing = wanted - candidates.filter((member) => linked.has(member.vm)).length;
    const shuffled = candidates
        .filter((member) => !linked.has(member.vm))
        .map((member) => ({ member, order: random() }))
        .sort((left, right) => left.order - right.order);
    return shuffled.slice(0, Math.max(0, missing)).map(({ member }) => member);
}
