import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { assertNever } from "../../../model/assertNever/index.js";
import { majorityOf } from "../../claims/majorityOf/index.js";
import { EntryContent } from "../EntryContent.js";
import { EntryKind } from "../EntryKind.js";
import { HardState } from "../HardState.js";
import { LogEntry } from "../LogEntry.js";
import { PeerProgress } from "../PeerProgress/index.js";
import { QuorumEvent } from "../QuorumEvent.js";
import { QuorumEventKind } from "../QuorumEventKind.js";
import { QuorumLog } from "../QuorumLog/index.js";
import { QuorumMessage } from "../QuorumMessage.js";
import { QuorumMessageKind } from "../QuorumMessageKind.js";
import { QuorumOutput } from "../QuorumOutput.js";
import { QuorumRole } from "../QuorumRole.js";
import { QuorumSnapshot } from "../QuorumSnapshot.js";
import { QuorumState } from "../QuorumState.js";

const HEARTBEAT_MS = 100;
const ELECTION_MS = 1_000;
/** The same until a leader has been heard since the start, in ms: when all have restarted, nobody leads, and pre-votes disturb no leader. */
const FIRST_ELECTION_MS = 200;
const MAX_ENTRIES_PER_APPEND = 64;

type AppendMessage = Extract<QuorumMessage, { kind: QuorumMessageKind.Append }>;
type AppendReply = Extract<QuorumMessage, { kind: QuorumMessageKind.AppendReply }>;
type VoteRequest = Extract<QuorumMessage, { kind: QuorumMessageKind.PreVote | QuorumMessageKind.Vote }>;
type SnapshotMessage = Extract<QuorumMessage, { kind: QuorumMessageKind.Snapshot }>;

/**
 * Agrees on the log of accepted changes with the other control VMs (Raft, Ongaro and Ousterhout 2014), with a vote
 * before the vote so that a VM that was cut off does not disturb (section 9.6 of Ongaro's thesis), leaders that step
 * down when a majority has not been heard for an election timeout (section 6.2), and voters changed one at a time
 * (section 4.1).
 *
 * Deterministic: no clock, no input or output. The caller makes durable what an output names before it sends anything.
 */
export class QuorumMachine {
    private readonly log: QuorumLog;
    private readonly progress: PeerProgress;
    private hardState: HardState;
    private role = QuorumRole.Follower;
    private leader: string | undefined;
    private commitIndex: number;
    private votes = new Set<string>();
    private heardLeaderAtMs: number;
    private electionAtMs: number;
    private heartbeatAtMs = 0;
    /** Commit index in the leader's latest message. */
    private leaderCommitIndex = Number.POSITIVE_INFINITY;
    private learners: readonly string[] = [];

    private savedState: HardState;
    private newEntries: LogEntry[] = [];
    private newSnapshot: QuorumSnapshot | undefined;
    private restored: QuorumSnapshot | undefined;
    private messages: { to: string; message: QuorumMessage }[] = [];
    private appliedIndex: number;

    private constructor(
        private readonly self: string,
        state: QuorumState,
        private readonly random: () => number,
        nowMs: number,
    ) {
        this.log = QuorumLog.create(state.snapshot, state.entries);
        this.progress = PeerProgress.create(self);
        this.hardState = state.hardState;
        this.savedState = state.hardState;
        this.commitIndex = state.snapshot.lastIndex;
        this.appliedIndex = state.snapshot.lastIndex;
        this.heardLeaderAtMs = Number.NEGATIVE_INFINITY;
        this.electionAtMs = 0;
        this.resetElection(nowMs);
    }

    /**
     * Creates the machine of a control VM.
     *
     * @param self - Identity of the VM's data folder: a new one after the disk was lost.
     * @param state - What the data folder holds.
     * @param random - Source of numbers from 0 up to, but not including, 1.
     * @param nowMs - Current time.
     */
    static create(self: string, state: QuorumState, random: () => number, nowMs: number): QuorumMachine {
        return new QuorumMachine(self, state, random, nowMs);
    }

    /** True while this VM leads. */
    get isLeader(): boolean {
        return this.role === QuorumRole.Leader;
    }

    /** True while this VM leads and has committed an entry of its term, so that it knows all that was committed. */
    get isReady(): boolean {
        return this.isLeader && this.log.termAt(this.commitIndex) === this.hardState.term;
    }

    /** True while this VM leads, or has applied all that its leader says is committed. */
    get isCurrent(): boolean {
        return this.isReady || (this.role === QuorumRole.Follower && this.leader !== undefined && this.commitIndex >= this.leaderCommitIndex);
    }

    /** Leader of the term as far as known. */
    get knownLeader(): string | undefined {
        return this.leader;
    }

    /** Current term. */
    get term(): number {
        return this.hardState.term;
    }

    /** Voters by the last entry that sets them. */
    get voters(): readonly string[] {
        return this.log.voters;
    }

    /** Index of the last entry. */
    get lastIndex(): number {
        return this.log.lastIndex;
    }

    /** Entries that are not in the snapshot yet. */
    get uncompacted(): number {
        return this.appliedIndex - this.log.snapshot.lastIndex;
    }

    /** Entries that are not in the snapshot. */
    entriesBehindSnapshot(): readonly LogEntry[] {
        return this.log.slice(this.log.snapshot.lastIndex + 1, this.log.lastIndex);
    }

    /** Position and voters of the state applied, for a snapshot of it. */
    appliedPosition(): Pick<QuorumSnapshot, "lastIndex" | "lastTerm" | "voters"> {
        const voters = this.log.slice(0, this.appliedIndex).findLast((entry) => entry.kind === EntryKind.Voters);
        return {
            lastIndex: this.appliedIndex,
            lastTerm: this.log.termAt(this.appliedIndex) ?? 0,
            voters: voters?.kind === EntryKind.Voters ? voters.voters : this.log.snapshot.voters,
        };
    }

    /** Tells on the leader whether a peer answers and lacks no more than a few entries, so that it may vote. */
    hasCaughtUp(peer: string, nowMs: number): boolean {
        return this.progress.hasCaughtUp(peer, this.log.lastIndex, nowMs);
    }

    /** Sets the identities that get the log without a vote, as VMs to be added. */
    setLearners(learners: readonly string[]): void {
        this.learners = learners;
    }

    /**
     * Takes one event.
     *
     * @param event - What happened.
     * @param nowMs - Current time.
     * @returns What to make durable, to send and to apply, in this order.
     */
    step(event: QuorumEvent, nowMs: number): QuorumOutput {
        switch (event.kind) {
            case QuorumEventKind.Tick:
                this.tick(nowMs);
                break;
            case QuorumEventKind.Message:
                this.receive(event.from, event.message, nowMs);
                break;
            case QuorumEventKind.Propose:
                this.propose(event.content, nowMs);
                break;
            case QuorumEventKind.Bootstrap:
                this.bootstrap(nowMs);
                break;
            case QuorumEventKind.Compact:
                this.log.compact(event.snapshot);
                this.newSnapshot = event.snapshot;
                break;
            default:
                assertNever(event);
        }
        return this.takeOutput();
    }

    private takeOutput(): QuorumOutput {
        const committed = this.log.slice(this.appliedIndex + 1, this.commitIndex);
        this.appliedIndex = this.commitIndex;
        const output = {
            hardState: this.hardState === this.savedState ? undefined : this.hardState,
            snapshot: this.newSnapshot,
            entries: this.newEntries,
            messages: this.messages,
            committed,
            restored: this.restored,
        };
        this.savedState = this.hardState;
        this.newSnapshot = undefined;
        this.newEntries = [];
        this.messages = [];
        this.restored = undefined;
        return output;
    }

    private bootstrap(nowMs: number): void {
        if (this.log.lastIndex > 0 || this.hardState.term > 0) {
            return;
        }
        this.hardState = { term: 1, votedFor: this.self };
        this.append({ kind: EntryKind.Voters, voters: [this.self] });
        this.lead(nowMs);
    }

    private tick(nowMs: number): void {
        if (this.isLeader) {
            this.tickLeader(nowMs);
            return;
        }
        if (nowMs >= this.electionAtMs && this.isVoter(this.self)) {
            this.startPreVote(nowMs);
        }
    }

    private tickLeader(nowMs: number): void {
        if (!this.progress.hearsMajority(this.voters, nowMs)) {
            this.follow(this.hardState.term, undefined, nowMs);
            return;
        }
        if (nowMs >= this.heartbeatAtMs) {
            this.heartbeatAtMs = nowMs + HEARTBEAT_MS;
            this.peers().forEach((peer) => this.sendAppend(peer));
        }
    }

    private startPreVote(nowMs: number): void {
        this.resetElection(nowMs);
        this.role = QuorumRole.PreCandidate;
        this.leader = undefined;
        this.votes = new Set([this.self]);
        this.askForVotes(QuorumMessageKind.PreVote, this.hardState.term + 1);
        this.countVotes(nowMs);
    }

    private startVote(nowMs: number): void {
        this.resetElection(nowMs);
        this.role = QuorumRole.Candidate;
        this.hardState = { term: this.hardState.term + 1, votedFor: this.self };
        this.votes = new Set([this.self]);
        this.askForVotes(QuorumMessageKind.Vote, this.hardState.term);
        this.countVotes(nowMs);
    }

    private askForVotes(kind: QuorumMessageKind.PreVote | QuorumMessageKind.Vote, term: number): void {
        const { lastIndex, lastTerm } = this.log;
        this.otherVoters().forEach((to) => this.send(to, { kind, term, lastIndex, lastTerm }));
    }

    private countVotes(nowMs: number): void {
        const votes = this.voters.filter((voter) => this.votes.has(voter)).length;
        if (votes < majorityOf(this.voters.length)) {
            return;
        }
        if (this.role === QuorumRole.PreCandidate) {
            this.startVote(nowMs);
        }
        else if (this.role === QuorumRole.Candidate) {
            this.lead(nowMs);
        }
    }

    private lead(nowMs: number): void {
        this.role = QuorumRole.Leader;
        this.leader = this.self;
        this.progress.reset(this.peers(), this.log.lastIndex, nowMs);
        this.heartbeatAtMs = nowMs;
        this.propose({ kind: EntryKind.Barrier }, nowMs);
    }

    private propose(content: EntryContent, nowMs: number): void {
        const changesVoters = content.kind === EntryKind.Voters;
        const isVotersPending = changesVoters && (this.log.votersIndex > this.commitIndex || !this.isReady);
        if (!this.isLeader || isVotersPending) {
            return;
        }
        this.append(content);
        this.peers().forEach((peer) => this.sendAppend(peer));
        this.heartbeatAtMs = nowMs + HEARTBEAT_MS;
        this.advanceCommit();
    }

    private append(content: EntryContent): void {
        const entry = { ...content, index: this.log.lastIndex + 1, term: this.hardState.term } as LogEntry;
        this.log.append(entry);
        this.newEntries.push(entry);
    }

    private receive(from: string, message: QuorumMessage, nowMs: number): void {
        if (message.term > this.hardState.term && !this.ignoresVote(message, nowMs)) {
            this.follow(message.term, undefined, nowMs);
        }
        switch (message.kind) {
            case QuorumMessageKind.PreVote:
                this.answerPreVote(from, message, nowMs);
                return;
            case QuorumMessageKind.PreVoteReply:
                this.takeVote(from, QuorumRole.PreCandidate, message.granted && message.term === this.hardState.term + 1, nowMs);
                return;
            case QuorumMessageKind.Vote:
                this.answerVote(from, message, nowMs);
                return;
            case QuorumMessageKind.VoteReply:
                this.takeVote(from, QuorumRole.Candidate, message.granted && message.term === this.hardState.term, nowMs);
                return;
            case QuorumMessageKind.Append:
                this.takeAppend(from, message, nowMs);
                return;
            case QuorumMessageKind.AppendReply:
                this.takeAppendReply(from, message, nowMs);
                return;
            case QuorumMessageKind.Snapshot:
                this.takeSnapshot(from, message, nowMs);
                return;
            default:
                assertNever(message);
        }
    }

    /** A voter that hears its leader takes no part in elections, and pre-votes carry a term not yet begun. */
    private ignoresVote(message: QuorumMessage, nowMs: number): boolean {
        const isGrantedPreVote = message.kind === QuorumMessageKind.PreVoteReply && message.granted;
        return message.kind === QuorumMessageKind.PreVote || isGrantedPreVote || (message.kind === QuorumMessageKind.Vote && this.hearsLeader(nowMs));
    }

    private hearsLeader(nowMs: number): boolean {
        return this.isLeader || nowMs - this.heardLeaderAtMs < ELECTION_MS;
    }

    private answerPreVote(from: string, message: VoteRequest, nowMs: number): void {
        const granted = message.term > this.hardState.term && !this.hearsLeader(nowMs) && this.isUpToDate(message);
        this.send(from, { kind: QuorumMessageKind.PreVoteReply, term: granted ? message.term : this.hardState.term, granted });
    }

    private answerVote(from: string, message: VoteRequest, nowMs: number): void {
        const { term, votedFor } = this.hardState;
        const mayVote = message.term === term && (votedFor === undefined || votedFor === from);
        const granted = mayVote && !this.hearsLeader(nowMs) && this.isUpToDate(message);
        if (granted) {
            this.hardState = { term, votedFor: from };
            this.resetElection(nowMs);
        }
        this.send(from, { kind: QuorumMessageKind.VoteReply, term: this.hardState.term, granted });
    }

    private takeVote(from: string, role: QuorumRole, granted: boolean, nowMs: number): void {
        if (this.role === role && granted) {
            this.votes.add(from);
            this.countVotes(nowMs);
        }
    }

    private isUpToDate(message: VoteRequest): boolean {
        const { lastIndex, lastTerm } = this.log;
        return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
    }

    private takeAppend(from: string, message: AppendMessage, nowMs: number): void {
        if (message.term < this.hardState.term) {
            this.replyAppend(from, false, 0);
            return;
        }
        this.hear(from, nowMs);
        this.leaderCommitIndex = message.commitIndex;
        const { previousIndex, previousTerm, entries, commitIndex } = message;
        const known = this.log.termAt(previousIndex);
        if (previousIndex > this.log.snapshot.lastIndex && known !== previousTerm) {
            this.replyAppend(from, false, Math.min(previousIndex - 1, this.log.lastIndex));
            return;
        }
        this.mergeEntries(entries);
        const matchIndex = Math.max(previousIndex + entries.length, this.log.snapshot.lastIndex);
        this.commitIndex = Math.max(this.commitIndex, Math.min(commitIndex, matchIndex));
        this.replyAppend(from, true, matchIndex);
    }

    private mergeEntries(entries: readonly LogEntry[]): void {
        const news = this.log.merge(entries);
        const first = news[0];
        if (first === undefined) {
            return;
        }
        assertInvariant(first.index > this.commitIndex, "a committed entry never changes", `${this.self} entry ${first.index}`);
        this.newEntries.push(...news);
    }

    private takeSnapshot(from: string, message: SnapshotMessage, nowMs: number): void {
        if (message.term < this.hardState.term) {
            this.replyAppend(from, false, 0);
            return;
        }
        this.hear(from, nowMs);
        const { snapshot } = message;
        if (snapshot.lastIndex > this.commitIndex) {
            this.log.compact(snapshot);
            this.newSnapshot = snapshot;
            this.restored = snapshot;
            this.commitIndex = snapshot.lastIndex;
            this.appliedIndex = snapshot.lastIndex;
        }
        this.replyAppend(from, true, snapshot.lastIndex);
    }

    private hear(leader: string, nowMs: number): void {
        assertInvariant(!this.isLeader, "a term has at most one leader", `${this.self} and ${leader} in term ${this.hardState.term}`);
        this.role = QuorumRole.Follower;
        this.leader = leader;
        this.heardLeaderAtMs = nowMs;
        this.resetElection(nowMs);
    }

    private takeAppendReply(from: string, message: AppendReply, nowMs: number): void {
        if (!this.isLeader || message.term !== this.hardState.term) {
            return;
        }
        if (!this.progress.take(from, message.accepted, message.matchIndex, nowMs)) {
            return;
        }
        this.advanceCommit();
        if (this.progress.nextIndex(from, this.log.lastIndex) <= this.log.lastIndex) {
            this.sendAppend(from);
        }
    }

    private advanceCommit(): void {
        const index = this.progress.majorityIndex(this.voters, this.log.lastIndex);
        if (index > this.commitIndex && this.log.termAt(index) === this.hardState.term) {
            this.commitIndex = index;
            this.heartbeatAtMs = 0;
        }
    }

    private sendAppend(to: string): void {
        const nextIndex = this.progress.nextIndex(to, this.log.lastIndex);
        const previousIndex = nextIndex - 1;
        const previousTerm = this.log.termAt(previousIndex);
        const { term } = this.hardState;
        if (previousTerm === undefined) {
            this.send(to, { kind: QuorumMessageKind.Snapshot, term, snapshot: this.log.snapshot });
            return;
        }
        const entries = this.log.slice(nextIndex, previousIndex + MAX_ENTRIES_PER_APPEND);
        this.send(to, { kind: QuorumMessageKind.Append, term, previousIndex, previousTerm, entries, commitIndex: this.commitIndex });
    }

    private replyAppend(to: string, accepted: boolean, matchIndex: number): void {
        this.send(to, { kind: QuorumMessageKind.AppendReply, term: this.hardState.term, accepted, matchIndex });
    }

    private follow(term: number, leader: string | undefined, nowMs: number): void {
        if (term > this.hardState.term) {
            this.hardState = { term, votedFor: undefined };
        }
        this.role = QuorumRole.Follower;
        this.leader = leader;
        this.resetElection(nowMs);
    }

    private resetElection(nowMs: number): void {
        const timeoutMs = this.heardLeaderAtMs === Number.NEGATIVE_INFINITY ? FIRST_ELECTION_MS : ELECTION_MS;
        this.electionAtMs = nowMs + timeoutMs + this.random() * timeoutMs;
    }

    private isVoter(identity: string): boolean {
        return this.voters.includes(identity);
    }

    private otherVoters(): readonly string[] {
        return this.voters.filter((voter) => voter !== this.self);
    }

    private peers(): readonly string[] {
        const learners = this.learners.filter((learner) => learner !== this.self && !this.isVoter(learner));
        return [...this.otherVoters(), ...learners];
    }

    private send(to: string, message: QuorumMessage): void {
        this.messages.push({ to, message });
    }
}
