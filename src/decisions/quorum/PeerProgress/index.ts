import { majorityOf } from "../../claims/majorityOf/index.js";
import { PeerContact } from "../PeerContact.js";

/** Time without a reply after which a peer counts as inactive, in ms; the same as the election timeout of `QuorumMachine`. */
const ELECTION_TIMEOUT_MS = 1_000;
/** Entries that a peer may lack and still count as caught up. */
const MAX_LAG_ENTRIES = 10;

interface Peer {
    nextIndex: number;
    matchIndex: number;
    lastContactAtMs: number;
    hasReplied: boolean;
    /** Latest round of heartbeats that the peer has replied to; undefined if its replies have no round. */
    round: number | undefined;
}

/** Tracks, on the leader, how far each peer's log has been replicated and when the peer last replied. */
export class PeerProgress {
    private readonly peers = new Map<string, Peer>();

    private constructor(private readonly self: string) {}

    /**
     * Creates the progress tracker of a leader.
     *
     * @param self - Identity of the leader.
     */
    static create(self: string): PeerProgress {
        return new PeerProgress(self);
    }

    /** Starts a term: resets the replication state of all peers and counts them as active. */
    reset(peers: readonly string[], lastIndex: number, nowMs: number): void {
        this.peers.clear();
        peers.forEach((peer) => this.peers.set(peer, createPeer(lastIndex, nowMs)));
    }

    /** Forgets other peers than these once there are more; a VM may come back under any number of identities in a term. */
    limit(peers: readonly string[]): void {
        if (this.peers.size > peers.length) {
            [...this.peers.keys()].filter((peer) => !peers.includes(peer)).forEach((peer) => this.peers.delete(peer));
        }
    }

    /** Returns the index of the next entry to send to a peer. */
    nextIndex(peer: string, lastIndex: number): number {
        const known = this.peers.get(peer) ?? createPeer(lastIndex, Number.NEGATIVE_INFINITY);
        this.peers.set(peer, known);
        return known.nextIndex;
    }

    /** Records entries that were sent to a peer. They are sent again only if the peer's reply shows that it lacks them. */
    recordSent(peer: string, lastIndex: number): void {
        const known = this.peers.get(peer);
        if (known !== undefined) {
            known.nextIndex = Math.max(known.nextIndex, lastIndex + 1);
        }
    }

    /**
     * Updates a peer's progress from its reply to an append message.
     *
     * @param peer - Peer that replied.
     * @param accepted - Whether the entries were accepted.
     * @param matchIndex - If accepted, the last entry known to match the leader's log; otherwise, the last entry that may match.
     * @param nowMs - Current time.
     * @returns True if the peer is tracked.
     */
    recordReply(peer: string, accepted: boolean, matchIndex: number, nowMs: number): boolean {
        const known = this.peers.get(peer);
        if (known === undefined) {
            return false;
        }
        known.lastContactAtMs = nowMs;
        known.hasReplied = true;
        if (accepted) {
            known.matchIndex = Math.max(known.matchIndex, matchIndex);
            known.nextIndex = Math.max(known.nextIndex, known.matchIndex + 1);
        }
        else {
            known.nextIndex = Math.max(known.matchIndex + 1, Math.min(known.nextIndex - 1, matchIndex + 1));
        }
        return true;
    }

    /** Records the round of heartbeats that a peer has replied to, if its replies have one. */
    recordRound(peer: string, round: number | undefined): void {
        const known = this.peers.get(peer);
        if (known !== undefined) {
            known.round = round === undefined ? undefined : Math.max(known.round ?? 0, round);
        }
    }

    /** Returns the latest round that a majority of the voters has replied to, of rounds up to the leader's own. */
    majorityRound(voters: readonly string[], ownRound: number): number {
        const rounds = voters
            .map((voter) => voter === this.self ? ownRound : this.peers.get(voter)?.round ?? 0)
            .sort((left, right) => right - left);
        return rounds[majorityOf(voters.length) - 1] ?? 0;
    }

    /** Returns true unless the replies of too many voters have no round. */
    canConfirmRounds(voters: readonly string[]): boolean {
        const capable = voters.filter((voter) => voter === this.self || (this.peers.get(voter) ?? { round: 0 }).round !== undefined);
        return capable.length >= majorityOf(voters.length);
    }

    /** Returns true if a majority of the voters, including the leader, has replied within the election timeout. */
    isQuorumActive(voters: readonly string[], nowMs: number): boolean {
        return voters.length - this.silentVoters(voters, nowMs).length >= majorityOf(voters.length);
    }

    /** Returns the voters that have not replied within the election timeout. */
    silentVoters(voters: readonly string[], nowMs: number): readonly string[] {
        return voters.filter((voter) => voter !== this.self && !this.isActive(voter, nowMs));
    }

    /** Returns the highest index that is stored on a majority of the voters. */
    majorityIndex(voters: readonly string[], ownLastIndex: number): number {
        const indexes = voters
            .map((voter) => voter === this.self ? ownLastIndex : this.peers.get(voter)?.matchIndex ?? 0)
            .sort((left, right) => right - left);
        return indexes[majorityOf(voters.length) - 1] ?? 0;
    }

    /** Returns the other voters that have not stored the log up to an index. */
    lackingVoters(voters: readonly string[], index: number): readonly string[] {
        return voters.filter((voter) => voter !== this.self && (this.peers.get(voter)?.matchIndex ?? 0) < index);
    }

    /** Returns true if a peer replies and lacks only a few entries, so that it can become a voter. */
    hasCaughtUp(peer: string, lastIndex: number, nowMs: number): boolean {
        const matchIndex = this.peers.get(peer)?.matchIndex ?? 0;
        return this.isActive(peer, nowMs) && matchIndex > 0 && lastIndex - matchIndex <= MAX_LAG_ENTRIES;
    }

    /** Returns the contacts with all peers that the leader has sent something to in its term. */
    contacts(lastIndex: number, nowMs: number): readonly PeerContact[] {
        return [...this.peers].map(([identity, { lastContactAtMs, hasReplied }]) => ({
            identity,
            silentMs: nowMs - lastContactAtMs,
            hasReplied,
            hasCaughtUp: this.hasCaughtUp(identity, lastIndex, nowMs),
        }));
    }

    private isActive(peer: string, nowMs: number): boolean {
        return nowMs - (this.peers.get(peer)?.lastContactAtMs ?? Number.NEGATIVE_INFINITY) < ELECTION_TIMEOUT_MS;
    }
}

function createPeer(lastIndex: number, lastContactAtMs: number): Peer {
    return { nextIndex: lastIndex + 1, matchIndex: 0, lastContactAtMs, hasReplied: false, round: 0 };
}
