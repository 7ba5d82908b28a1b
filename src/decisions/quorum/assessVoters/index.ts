import { majorityOf } from "../../claims/majorityOf/index.js";
import { PeerContact } from "../PeerContact.js";
import { vmOf } from "../vmOf/index.js";
import { VoterAssessment } from "../VoterAssessment.js";
import { VoterState } from "../VoterState.js";

/** Time without a reply after which an identity no longer counts as live, in ms. */
const PEER_TIMEOUT_MS = 1_500;
/** Time without a reply after which a voter counts as lost, in ms; longer than a restart. */
const VOTER_TIMEOUT_MS = 2_500;

/**
 * Determines which voters can still vote. A vote belongs to a data folder, so that a VM that replies under another identity does not stand in
 * for a voter: it supersedes it.
 *
 * @param voters - Identities of the voters.
 * @param contacts - Contacts of the leader with all identities that it sends the log to, itself among them.
 * @returns State of the voters, identities that could become voters, and the number of losses that the voters bear.
 * @example
 * assessVoters(["a:1"], [{ identity: "a:1", silentMs: 0, hasReplied: true, hasCaughtUp: true }]).toleratedLosses; // 0
 */
export function assessVoters(voters: readonly string[], contacts: readonly PeerContact[]): VoterAssessment {
    const replying = contacts.filter(({ hasReplied, silentMs }) => hasReplied && silentMs < PEER_TIMEOUT_MS);
    const assessed = voters.map((identity) => ({ identity, state: stateOf(identity, contacts) }));
    const liveCount = assessed.filter(({ state }) => state === VoterState.Live).length;
    const spares = replying
        .filter(({ identity }) => !voters.includes(identity) && !isSuperseded(identity, contacts))
        .map(({ identity, hasCaughtUp }) => ({ identity, hasCaughtUp }))
        .sort((left, right) => Number(right.hasCaughtUp) - Number(left.hasCaughtUp));
    return { voters: assessed, spares, toleratedLosses: Math.max(0, liveCount - majorityOf(voters.length)) };
}

function stateOf(identity: string, contacts: readonly PeerContact[]): VoterState {
    if (isSuperseded(identity, contacts)) {
        return VoterState.Superseded;
    }
    const silentMs = silentMsOf(identity, contacts);
    if (silentMs < PEER_TIMEOUT_MS) {
        return VoterState.Live;
    }
    return silentMs < VOTER_TIMEOUT_MS ? VoterState.Silent : VoterState.Lost;
}

/** Returns true if another identity of the same VM has replied later. */
function isSuperseded(identity: string, contacts: readonly PeerContact[]): boolean {
    const silentMs = silentMsOf(identity, contacts);
    return contacts.some((other) =>
        other.identity !== identity && other.hasReplied && vmOf(other.identity) === vmOf(identity) && other.silentMs < silentMs);
}

function silentMsOf(identity: string, contacts: readonly PeerContact[]): number {
    return contacts.find((contact) => contact.identity === identity)?.silentMs ?? Number.POSITIVE_INFINITY;
}
