import { majorityOf } from "../../claims/majorityOf/index.js";

const ELECTION_MS = 1_000;
const MAX_LAG_ENTRIES = 10;

interface Peer {
    nextIndex: number;
    matchIndex: number;
    heardAtMs: number;
}

/** What a leader knows of the logs of its peers. */
export class PeerProgress {
    private readonly peers = new Map<string, Peer>();

    private constructor(private readonly self: string) {}

    /**
     * Creates the progress of a leader.
     *
     * @param self - Identity of the leader.
     */
    static create(self: string): PeerProgress {
        return new PeerProgress(self);
    }

    /** Starts a term: nothing is known of any peer's log, and all count as heard. */
    reset(peers: readonly string[], lastIndex: number, nowMs: number): void {
        this.peers.clear();
        peers.forEach((peer) => this.peers.set(peer, { nextIndex: lastIndex + 1, matchIndex: 0, heardAtMs: nowMs }));
    }

    /** Index of the next entry to send to a peer. */
    nextIndex(peer: string, lastIndex: number): number {
        const known = this.peers.get(peer) ?? { nextIndex: lastIndex + 1, matchIndex: 0, heardAtMs: 0 };
        this.peers.set(peer, known);
        return known.nextIndex;
    }

    /**
     * Takes a peer's reply to entries that were sent.
     *
     * @param peer - Who replied.
     * @param accepted - Whether the entries were accepted.
     * @param matchIndex - Last entry that is the same at both ends if accepted, else the last one that may be.
     * @param nowMs - Current time.
     * @returns Whether the peer is known.
     */
    take(peer: string, accepted: boolean, matchIndex: number, nowMs: number): boolean {
        const known = this.peers.get(peer);
        if (known === undefined) {
            return false;
        }
        known.heardAtMs = nowMs;
        if (accepted) {
            known.matchIndex = Math.max(known.matchIndex, matchIndex);
            known.nextIndex = Math.max(known.nextIndex, known.matchIndex + 1);
        }
        else {
            known.nextIndex = Math.max(known.matchIndex + 1, Math.min(known.nextIndex - 1, matchIndex + 1));
        }
        return true;
    }

    /** Tells whether a majority of the voters, the leader among them, has been heard within an election timeout. */
    hearsMajority(voters: readonly string[], nowMs: number): boolean {
        const heard = voters.filter((voter) => voter === this.self || this.isHeard(voter, nowMs));
        return heard.length >= majorityOf(voters.length);
    }

    /** Highest index that a majority of the voters has. */
    majorityIndex(voters: readonly string[], ownLastIndex: number): number {
        const indexes = voters
            .map((voter) => voter === this.self ? ownLastIndex : this.peers.get(voter)?.matchIndex ?? 0)
            .sort((left, right) => right - left);
        return indexes[majorityOf(voters.length) - 1] ?? 0;
    }

    /** Tells whether a peer answers and lacks no more than a few entries, so that it may vote. */
    hasCaughtUp(peer: string, lastIndex: number, nowMs: number): boolean {
        const matchIndex = this.peers.get(peer)?.matchIndex ?? 0;
        return this.isHeard(peer, nowMs) && matchIndex > 0 && lastIndex - matchIndex <= MAX_LAG_ENTRIES;
    }

    private isHeard(peer: string, nowMs: number): boolean {
        return nowMs - (this.peers.get(peer)?.heardAtMs ?? Number.NEGATIVE_INFINITY) < ELECTION_MS;
    }
}
