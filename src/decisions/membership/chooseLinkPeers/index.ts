import { MemberRecord } from "../../../model/MemberRecord.js";

/** Desired total number of open links. */
const TARGET_LINKS = 5;
/** Desired number of links within the process's own failure domain, if there are members in others. */
const TARGET_LINKS_IN_OWN_DOMAIN = 2;

/**
 * Chooses the members to which a process opens links: a few, most of them in other failure domains.
 *
 * @param self - VM and failure domain of the process.
 * @param linked - VMs with an open link.
 * @param members - Live members.
 * @param random - Random number generator with values in [0, 1).
 * @returns Members to connect to; empty while enough links are open.
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
    const isInOwnDomain = (member: MemberRecord): boolean => member.failureDomain === self.failureDomain;
    const inOwnDomain = others.filter(isInOwnDomain);
    const inOtherDomains = others.filter((member) => !isInOwnDomain(member));
    const ownDomainTarget = inOtherDomains.length === 0 ? TARGET_LINKS : TARGET_LINKS_IN_OWN_DOMAIN;
    const otherDomainsTarget = inOwnDomain.length === 0 ? TARGET_LINKS : TARGET_LINKS - TARGET_LINKS_IN_OWN_DOMAIN;
    return [...pickRandom(inOwnDomain, ownDomainTarget, linked, random), ...pickRandom(inOtherDomains, otherDomainsTarget, linked, random)];
}

function pickRandom(
    candidates: readonly MemberRecord[],
    targetCount: number,
    linked: ReadonlySet<string>,
    random: () => number,
): readonly MemberRecord[] {
    const missing = targetCount - candidates.filter((member) => linked.has(member.vm)).length;
    const shuffled = candidates
        .filter((member) => !linked.has(member.vm))
        .map((member) => ({ member, order: random() }))
        .sort((left, right) => left.order - right.order);
    return shuffled.slice(0, Math.max(0, missing)).map(({ member }) => member);
}
