import { majorityOf } from "../../claims/majorityOf/index.js";

/** Time for which a granted pre-vote counts, in ms; the election timeout of `QuorumMachine`. */
const PRE_VOTE_VALIDITY_MS = 1_000;

/** Votes of a control VM that stands for election, and those it may give to others before the next term. */
export class Candidacy {
    /** Times of the pre-votes granted to this VM for the next term, by voter. */
    private readonly preVotes = new Map<string, number>();
    /** Candidates for the next term that this VM has given time. */
    private readonly favoured = new Set<string>();
    private term: number | undefined;
    private votes = new Set<string>();
    private refusals = new Set<string>();
    /** Voters that had granted a pre-vote when the election began; the others may not be there at all. */
    private electorate: readonly string[] = [];
    private electionCount = 0;

    private constructor(private readonly self: string) {}

    /**
     * Creates the candidacy of a VM that has not stood yet.
     *
     * @param self - Identity of the VM.
     */
    static create(self: string): Candidacy {
        return new Candidacy(self);
    }

    /** Number of elections since the last contact with a leader. */
    get elections(): number {
        return this.electionCount;
    }

    /** Begins an election; votes of former terms no longer count. */
    start(term: number, voters: readonly string[], nowMs: number): void {
        this.term = term;
        this.votes = new Set();
        this.refusals = new Set();
        this.electorate = this.preVoters(voters, nowMs);
        this.electionCount += 1;
        this.endTerm();
    }

    /** Forgets what concerned the next term, as another one has begun or a leader is known. */
    endTerm(): void {
        this.preVotes.clear();
        this.favoured.clear();
    }

    /** Records contact with a leader. */
    recordLeader(): void {
        this.electionCount = 0;
    }

    /** Records a pre-vote for the next term. */
    recordPreVote(voter: string, nowMs: number): void {
        this.preVotes.set(voter, nowMs);
    }

    /** Records a reply to a request for votes, if this VM is or was a candidate of the term since its start. Returns false otherwise. */
    recordVote(voter: string, term: number, granted: boolean): boolean {
        if (term !== this.term) {
            return false;
        }
        (granted ? this.votes : this.refusals).add(voter);
        return true;
    }

    /** Voters that have granted this VM a pre-vote, itself included; a round may be shorter than a reply takes. */
    preVoters(voters: readonly string[], nowMs: number): readonly string[] {
        const isValid = (voter: string): boolean => nowMs - (this.preVotes.get(voter) ?? Number.NEGATIVE_INFINITY) < PRE_VOTE_VALIDITY_MS;
        return voters.filter((voter) => voter === this.self || isValid(voter));
    }

    /** Voters that have voted for this VM. */
    votersFor(voters: readonly string[]): readonly string[] {
        return voters.filter((voter) => this.votes.has(voter));
    }

    /** Returns true if those who were expected to vote have refused too often for a majority. Votes of others still count. */
    hasLost(voters: readonly string[]): boolean {
        return this.electorate.filter((voter) => !this.refusals.has(voter)).length < majorityOf(voters.length);
    }

    /**
     * Records that this VM gives a candidate for the next term time. Returns false if it did before: a VM whose requests arrive, but that
     * no reply reaches, would keep all others from standing.
     */
    favour(candidate: string): boolean {
        const isNew = !this.favoured.has(candidate);
        this.favoured.add(candidate);
        return isNew;
    }
}
