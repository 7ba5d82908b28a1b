import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { assertNever } from "../../../model/assertNever/index.js";
import { majorityOf } from "../../claims/majorityOf/index.js";
import { Candidacy } from "../Candidacy/index.js";
import { EntryContent } from "../EntryContent.js";
import { EntryKind } from "../EntryKind.js";
import { HardState } from "../HardState.js";
import { LogEntry } from "../LogEntry.js";
import { PeerContact } from "../PeerContact.js";
import { PeerProgress } from "../PeerProgress/index.js";
import { QuorumEvent } from "../QuorumEvent.js";
import { QuorumEventKind } from "../QuorumEventKind.js";
import { QuorumLog } from "../QuorumLog/index.js";
import { QuorumMessage } from "../QuorumMessage.js";
import { QuorumMessageKind } from "../QuorumMessageKind.js";
import { QuorumNotice } from "../QuorumNotice.js";
import { QuorumNoticeKind } from "../QuorumNoticeKind.js";
import { QuorumOutput } from "../QuorumOutput.js";
import { QuorumRole } from "../QuorumRole.js";
import { QuorumSnapshot } from "../QuorumSnapshot.js";
import { QuorumState } from "../QuorumState.js";
import { ReadRounds } from "../ReadRounds/index.js";
import { StepDownReason } from "../StepDownReason.js";
import { VoteRefusal } from "../VoteRefusal.js";
import { WriteProgress } from "../WriteProgress/index.js";

/** Time between a leader's append messages to a peer, in ms; they serve as heartbeats. */
const HEARTBEAT_INTERVAL_MS = 100;
/** Shortest election timeout, in ms; the actual one is random, up to twice as long. */
const ELECTION_TIMEOUT_MS = 1_000;
/**
 * Election timeout until the first contact with a leader since the start, in ms. It is short because after a restart of all
 * control VMs there is no leader to wait for, and pre-votes do not disturb an existing leader.
 */
const FIRST_ELECTION_TIMEOUT_MS = 200;
/** Number of times that the timeout of a candidate doubles from one election to the next. */
const MAX_TIMEOUT_DOUBLINGS = 2;
/** Longest time that may pass between two events, in ms; two intervals of ticks. What exceeds it, this process did not run. */
const MAX_ELAPSED_MS = 100;
const MAX_ENTRIES_PER_APPEND = 64;

type AppendMessage = Extract<QuorumMessage, { kind: QuorumMessageKind.Append }>;
type AppendReply = Extract<QuorumMessage, { kind: QuorumMessageKind.AppendReply }>;
type VoteRequest = Extract<QuorumMessage, { kind: QuorumMessageKind.PreVote | QuorumMessageKind.Vote }>;
type VoteReply = Extract<QuorumMessage, { kind: QuorumMessageKind.PreVoteReply | QuorumMessageKind.VoteReply }>;
type SnapshotMessage = Extract<QuorumMessage, { kind: QuorumMessageKind.Snapshot }>;

/**
 * State machine of one control VM that replicates the log of accepted changes (Raft, Ongaro and Ousterhout 2014). It uses
 * three extensions described in Ongaro's thesis: a pre-vote, so that a VM that rejoins after a network partition does not force an
 * election (section 9.6); leaders that step down after an election timeout without replies from a majority (section 6.2);
 * and single-server membership changes (section 4.1).
 *
 * Deterministic: it reads no clock and does no input or output. It goes on while its state is being written, so that the time of a
 * disk does not count as silence of a peer: votes and acknowledgements of entries are messages that wait for their write, and the
 * machine counts its own vote and its own copy of an entry only once they are persisted (Ongaro's thesis, section 10.2.1).
 *
 * Its timers follow a clock that stops while the process does not run: after a pause the messages of the peers have arrived, but a timer
 * is handled before them. The caller must send a `Tick` at least every 100 ms.
 */
export class QuorumMachine {
    private readonly log: QuorumLog;
    private readonly progress: PeerProgress;
    private hardState: HardState;
    private lastEventAtMs: number;
    /** Time for which this process has run. */
    private runningMs: number;
    private role = QuorumRole.Follower;
    private leader: string | undefined;
    private commitIndex: number;
    private readonly candidacy: Candidacy;
    /** Time at which the vote in the current term was stored. */
    private votedAtMs = Number.NEGATIVE_INFINITY;
    private leaderContactAtMs: number;
    private electionDueAtMs: number;
    private heartbeatDueAtMs = 0;
    private readonly reads = ReadRounds.create();
    private confirmedReads: number[] = [];
    /** Commit index in the latest message from the leader. */
    private leaderCommitIndex = Number.POSITIVE_INFINITY;
    private learners: readonly string[] = [];

    /** Hard state in the last output; the next output includes the hard state only if it differs. */
    private persistedState: HardState;
    private newEntries: LogEntry[] = [];
    private newSnapshot: QuorumSnapshot | undefined;
    private receivedSnapshot: QuorumSnapshot | undefined;
    private messages: { to: string; message: QuorumMessage }[] = [];
    private durableMessages: { to: string; message: QuorumMessage }[] = [];
    private notices: QuorumNotice[] = [];
    private readonly writes = WriteProgress.create();
    private appliedIndex: number;

    private constructor(
        private readonly self: string,
        state: QuorumState,
        private readonly random: () => number,
        nowMs: number,
    ) {
        this.log = QuorumLog.create(state.snapshot, state.entries);
        this.progress = PeerProgress.create(self);
        this.candidacy = Candidacy.create(self);
        this.hardState = state.hardState;
        this.persistedState = state.hardState;
        this.commitIndex = state.snapshot.lastIndex;
        this.appliedIndex = state.snapshot.lastIndex;
        this.leaderContactAtMs = Number.NEGATIVE_INFINITY;
        this.electionDueAtMs = 0;
        this.lastEventAtMs = nowMs;
        this.runningMs = nowMs;
        this.resetElectionTimer(nowMs);
    }

    /**
     * Creates the state machine of a control VM.
     *
     * @param self - Identity of the VM's data folder; a VM that lost its disk has a new identity.
     * @param state - Persisted state read from the data folder.
     * @param random - Random number generator with values in [0, 1).
     * @param nowMs - Current time.
     */
    static create(self: string, state: QuorumState, random: () => number, nowMs: number): QuorumMachine {
        return new QuorumMachine(self, state, random, nowMs);
    }

    /** True while this VM is the leader. */
    get isLeader(): boolean {
        return this.role === QuorumRole.Leader;
    }

    /** True while this VM is the leader and has committed an entry of its own term, which shows that it has all committed entries. */
    get isReady(): boolean {
        return this.isLeader && this.log.termAt(this.commitIndex) === this.hardState.term;
    }

    /** True while this VM is a ready leader, or a follower that has reached its leader's commit index. */
    get isCurrent(): boolean {
        return this.isReady || (this.role === QuorumRole.Follower && this.leader !== undefined && this.commitIndex >= this.leaderCommitIndex);
    }

    /** Leader of the current term, or undefined if unknown. */
    get knownLeader(): string | undefined {
        return this.leader;
    }

    /**
     * True if this VM has no log yet. One that was killed while it founded the log may have stored its vote for itself in term 1, which
     * only a founder casts.
     */
    get canBootstrap(): boolean {
        const { term, votedFor } = this.hardState;
        return this.log.lastIndex === 0 && (term === 0 || (term === 1 && votedFor === this.self));
    }

    /** Current term. */
    get term(): number {
        return this.hardState.term;
    }

    /** Current voters, including a change that is not committed yet. */
    get voters(): readonly string[] {
        return this.log.voters;
    }

    /** Index of the last entry. */
    get lastIndex(): number {
        return this.log.lastIndex;
    }

    /** Number of applied entries that the snapshot does not cover. */
    get uncompactedEntryCount(): number {
        return this.appliedIndex - this.log.snapshot.lastIndex;
    }

    /** Returns the last applied position and its voters, for a new snapshot. */
    appliedPosition(): Pick<QuorumSnapshot, "lastIndex" | "lastTerm" | "voters"> {
        const voters = this.log.slice(0, this.appliedIndex).findLast((entry) => entry.kind === EntryKind.Voters);
        return {
            lastIndex: this.appliedIndex,
            lastTerm: this.log.termAt(this.appliedIndex) ?? 0,
            voters: voters?.kind === EntryKind.Voters ? voters.voters : this.log.snapshot.voters,
        };
    }

    /** Returns true on the leader if a peer replies and lacks only a few entries, so that it can become a voter. */
    hasCaughtUp(peer: string): boolean {
        return this.progress.hasCaughtUp(peer, this.log.lastIndex, this.runningMs);
    }

    /** Returns, on the leader, its contacts with all identities that it sends the log to, itself among them. */
    get contacts(): readonly PeerContact[] {
        const own = { identity: this.self, silentMs: 0, hasReplied: true, hasCaughtUp: true };
        return [own, ...this.progress.contacts(this.log.lastIndex, this.runningMs).filter(({ identity }) => identity !== this.self)];
    }

    /** False on a leader if too many voters run an earlier version, whose replies confirm no reads. */
    get canConfirmReads(): boolean {
        return this.progress.canConfirmRounds(this.voters);
    }

    /** Returns, on the leader, the voters that are not known to have stored an entry, this VM among them. */
    votersWithout(index: number): readonly string[] {
        const own = this.persistedIndex < index ? [this.self] : [];
        return [...own, ...this.progress.lackingVoters(this.voters, index)];
    }

    /** Sets the identities that receive the log without a vote, such as VMs that are about to become voters. */
    setLearners(learners: readonly string[]): void {
        this.learners = learners;
        this.progress.limit([...this.voters, ...learners]);
    }

    /**
     * Processes one event.
     *
     * @param event - The input.
     * @param nowMs - Current time.
     * @returns State to persist, messages to send and entries to apply.
     */
    step(event: QuorumEvent, nowMs: number): QuorumOutput {
        this.runningMs += Math.min(nowMs - this.lastEventAtMs, MAX_ELAPSED_MS);
        this.lastEventAtMs = nowMs;
        this.handleEvent(event, this.runningMs);
        return this.drainOutput();
    }

    private handleEvent(event: QuorumEvent, nowMs: number): void {
        switch (event.kind) {
            case QuorumEventKind.Tick:
                this.tick(nowMs);
                break;
            case QuorumEventKind.Message:
                this.handleMessage(event.from, event.message, nowMs);
                break;
            case QuorumEventKind.Propose:
                this.propose(event.content, nowMs);
                break;
            case QuorumEventKind.Bootstrap:
                this.bootstrap(nowMs);
                break;
            case QuorumEventKind.Persisted:
                this.handlePersisted(event.writeNumber, nowMs);
                break;
            case QuorumEventKind.Read:
                this.handleRead(event.id);
                break;
            case QuorumEventKind.Resign:
                this.resign(nowMs);
                break;
            case QuorumEventKind.Compact:
                this.log.compact(event.snapshot);
                this.newSnapshot = event.snapshot;
                break;
            default:
                assertNever(event);
        }
    }

    private drainOutput(): QuorumOutput {
        const committed = this.log.slice(this.appliedIndex + 1, this.commitIndex);
        this.appliedIndex = this.commitIndex;
        const hardState = this.hardState === this.persistedState ? undefined : this.hardState;
        const { snapshot } = this.log;
        const output = {
            writeNumber: this.startWrite(hardState !== undefined),
            hardState,
            snapshot: this.newSnapshot,
            entries: this.newEntries,
            remaining: this.newSnapshot === undefined ? [] : this.log.slice(snapshot.lastIndex + 1, this.log.lastIndex),
            messages: this.messages,
            durableMessages: this.durableMessages,
            committed,
            receivedSnapshot: this.receivedSnapshot,
            confirmedReads: this.confirmedReads,
            notices: this.notices,
        };
        this.persistedState = this.hardState;
        this.newSnapshot = undefined;
        this.newEntries = [];
        this.messages = [];
        this.durableMessages = [];
        this.confirmedReads = [];
        this.notices = [];
        this.receivedSnapshot = undefined;
        return output;
    }

    private startWrite(hasHardState: boolean): number | undefined {
        if (!hasHardState && this.newEntries.length === 0 && this.newSnapshot === undefined) {
            return undefined;
        }
        return this.writes.start(hasHardState, this.firstNewIndex);
    }

    /** Index from which on the output of this step will change the stored log. */
    private get firstNewIndex(): number {
        return this.receivedSnapshot === undefined ? this.newEntries[0]?.index ?? Number.POSITIVE_INFINITY : 1;
    }

    private handlePersisted(writeNumber: number, nowMs: number): void {
        const wasVotePending = this.writes.hasPendingHardState();
        this.writes.recordSynced(writeNumber);
        if (this.isLeader) {
            this.advanceCommit();
        }
        else if (wasVotePending && !this.writes.hasPendingHardState()) {
            this.handleStoredVote(nowMs);
        }
    }

    private handleStoredVote(nowMs: number): void {
        if (this.hardState.votedFor === undefined) {
            return;
        }
        this.votedAtMs = nowMs;
        if (this.role === QuorumRole.Candidate) {
            this.resetElectionTimer(nowMs, ELECTION_TIMEOUT_MS * 2 ** Math.min(this.candidacy.elections - 1, MAX_TIMEOUT_DOUBLINGS));
            this.candidacy.recordVote(this.self, this.hardState.term, true);
            this.countVotes(nowMs);
        }
    }

    /** Index up to which the log in memory is stored as well. */
    private get persistedIndex(): number {
        return Math.min(this.firstNewIndex - 1, this.writes.syncedIndex(this.log.lastIndex));
    }

    private bootstrap(nowMs: number): void {
        if (!this.canBootstrap) {
            return;
        }
        this.hardState = { term: 1, votedFor: this.self };
        this.append({ kind: EntryKind.Voters, voters: [this.self] });
        this.becomeLeader(nowMs);
    }

    private tick(nowMs: number): void {
        if (this.isLeader) {
            this.tickLeader(nowMs);
            return;
        }
        if (nowMs < this.electionDueAtMs) {
            return;
        }
        // A VM whose disk is busy could not store its own vote.
        if (this.isVoter(this.self) && !this.writes.isPending) {
            this.startPreVote(nowMs);
        }
        else {
            this.leader = undefined;
        }
    }

    private tickLeader(nowMs: number): void {
        if (!this.progress.isQuorumActive(this.voters, nowMs)) {
            this.recordStepDown(StepDownReason.SilentMajority, nowMs);
            this.becomeFollower(this.hardState.term, undefined, nowMs);
            return;
        }
        if (nowMs >= this.heartbeatDueAtMs) {
            this.heartbeatDueAtMs = nowMs + HEARTBEAT_INTERVAL_MS;
            this.peers().forEach((peer) => this.sendAppend(peer));
        }
    }

    /** Confirms reads by a round of heartbeats instead of an entry of the log (Ongaro's thesis, section 6.4). */
    private handleRead(id: number): void {
        if (!this.isReady) {
            return;
        }
        this.reads.add(id);
        this.confirmReads();
    }

    private confirmReads(): void {
        while (this.reads.startNext(this.confirmedRound)) {
            this.peers().forEach((peer) => this.sendAppend(peer));
        }
        this.confirmedReads.push(...this.reads.takeConfirmed(this.confirmedRound));
    }

    private get confirmedRound(): number {
        return this.progress.majorityRound(this.voters, this.reads.round);
    }

    private resign(nowMs: number): void {
        if (this.isLeader) {
            this.recordStepDown(StepDownReason.HungDisk, nowMs);
            this.becomeFollower(this.hardState.term, undefined, nowMs);
        }
    }

    private startPreVote(nowMs: number): void {
        this.recordLostRound(nowMs);
        this.resetElectionTimer(nowMs);
        this.role = QuorumRole.PreCandidate;
        this.leader = undefined;
        const term = this.hardState.term + 1;
        this.notices.push({ kind: QuorumNoticeKind.RoundStarted, term, isPreVote: true });
        this.requestVotes(QuorumMessageKind.PreVote, term);
        this.countPreVotes(nowMs);
    }

    private startElection(nowMs: number): void {
        this.resetElectionTimer(nowMs);
        this.role = QuorumRole.Candidate;
        this.hardState = { term: this.hardState.term + 1, votedFor: this.self };
        this.candidacy.start(this.hardState.term, this.voters, nowMs);
        this.notices.push({ kind: QuorumNoticeKind.RoundStarted, term: this.hardState.term, isPreVote: false });
        this.requestVotes(QuorumMessageKind.Vote, this.hardState.term);
    }

    private requestVotes(kind: QuorumMessageKind.PreVote | QuorumMessageKind.Vote, term: number): void {
        const { lastIndex, lastTerm } = this.log;
        const messages = kind === QuorumMessageKind.Vote ? this.durableMessages : this.messages;
        this.otherVoters().forEach((to) => messages.push({ to, message: { kind, term, lastIndex, lastTerm } }));
    }

    private countPreVotes(nowMs: number): void {
        if (this.candidacy.preVoters(this.voters, nowMs).length >= majorityOf(this.voters.length)) {
            this.startElection(nowMs);
        }
    }

    private countVotes(nowMs: number): void {
        const majority = majorityOf(this.voters.length);
        if (this.candidacy.votersFor(this.voters).length >= majority) {
            this.becomeLeader(nowMs);
        }
        else if (this.role === QuorumRole.Candidate && this.candidacy.hasLost(this.voters)) {
            this.resetElectionTimer(nowMs);
        }
    }

    private becomeLeader(nowMs: number): void {
        this.role = QuorumRole.Leader;
        this.leader = this.self;
        this.candidacy.recordLeader();
        this.progress.reset(this.peers(), this.log.lastIndex, nowMs);
        this.reads.clear();
        this.heartbeatDueAtMs = nowMs;
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
        this.heartbeatDueAtMs = nowMs + HEARTBEAT_INTERVAL_MS;
        this.advanceCommit();
    }

    private append(content: EntryContent): void {
        const entry = { ...content, index: this.log.lastIndex + 1, term: this.hardState.term } as LogEntry;
        this.log.append(entry);
        this.newEntries.push(entry);
    }

    private handleMessage(from: string, message: QuorumMessage, nowMs: number): void {
        if (message.term > this.hardState.term && !this.shouldIgnoreTerm(message, nowMs)) {
            if (this.isLeader) {
                this.recordStepDown(StepDownReason.HigherTerm, nowMs);
            }
            this.becomeFollower(message.term, undefined, nowMs);
        }
        switch (message.kind) {
            case QuorumMessageKind.PreVote:
                this.handlePreVote(from, message, nowMs);
                return;
            case QuorumMessageKind.PreVoteReply:
                this.handlePreVoteReply(from, message, nowMs);
                return;
            case QuorumMessageKind.Vote:
                this.handleVote(from, message, nowMs);
                return;
            case QuorumMessageKind.VoteReply:
                this.handleVoteReply(from, message, nowMs);
                return;
            case QuorumMessageKind.Append:
                this.handleAppend(from, message, nowMs);
                return;
            case QuorumMessageKind.AppendReply:
                this.handleAppendReply(from, message, nowMs);
                return;
            case QuorumMessageKind.Snapshot:
                this.handleSnapshot(from, message, nowMs);
                return;
            default:
                assertNever(message);
        }
    }

    /**
     * Returns true if a message's higher term must not be adopted: the term of a pre-vote has not started yet, and a voter in
     * contact with its leader takes no part in elections.
     */
    private shouldIgnoreTerm(message: QuorumMessage, nowMs: number): boolean {
        const isGrantedPreVote = message.kind === QuorumMessageKind.PreVoteReply && message.granted;
        return message.kind === QuorumMessageKind.PreVote || isGrantedPreVote
            || (message.kind === QuorumMessageKind.Vote && this.hasLeaderContact(nowMs));
    }

    private hasLeaderContact(nowMs: number): boolean {
        return this.isLeader || nowMs - this.leaderContactAtMs < ELECTION_TIMEOUT_MS;
    }

    private handlePreVote(from: string, message: VoteRequest, nowMs: number): void {
        const refusal = message.term <= this.hardState.term
            ? VoteRefusal.OldTerm
            : this.hasRecentVoteForOther(from, nowMs) ? VoteRefusal.RecentVote : this.findRefusal(message, nowMs);
        const granted = refusal === undefined;
        if (granted && this.role !== QuorumRole.Candidate && this.candidacy.favour(from)) {
            this.resetElectionTimer(nowMs, ELECTION_TIMEOUT_MS);
        }
        this.recordRefusal(from, message, refusal);
        this.send(from, { kind: QuorumMessageKind.PreVoteReply, term: granted ? message.term : this.hardState.term, granted });
    }

    /** Returns true if this VM's vote may still elect another candidate than the one that asks for a pre-vote. */
    private hasRecentVoteForOther(from: string, nowMs: number): boolean {
        const { votedFor } = this.hardState;
        if (votedFor === undefined || votedFor === from || (votedFor === this.self && this.candidacy.hasLost(this.voters))) {
            return false;
        }
        return this.writes.hasPendingHardState() || nowMs - this.votedAtMs < ELECTION_TIMEOUT_MS;
    }

    private handleVote(from: string, message: VoteRequest, nowMs: number): void {
        const { term, votedFor } = this.hardState;
        const hasVotedForOther = votedFor !== undefined && votedFor !== from;
        const refusal = message.term !== term
            ? message.term < term ? VoteRefusal.OldTerm : VoteRefusal.LeaderContact
            : hasVotedForOther ? VoteRefusal.VotedForOther : this.findRefusal(message, nowMs);
        const granted = refusal === undefined;
        this.recordRefusal(from, message, refusal);
        if (granted) {
            this.hardState = { term, votedFor: from };
            this.resetElectionTimer(nowMs, ELECTION_TIMEOUT_MS);
        }
        const reply = { to: from, message: { kind: QuorumMessageKind.VoteReply, term: this.hardState.term, granted } } as const;
        (granted ? this.durableMessages : this.messages).push(reply);
    }

    private handlePreVoteReply(from: string, message: VoteReply, nowMs: number): void {
        if (this.role === QuorumRole.PreCandidate && message.granted && message.term === this.hardState.term + 1) {
            this.candidacy.recordPreVote(from, nowMs);
            this.countPreVotes(nowMs);
        }
    }

    private handleVoteReply(from: string, message: VoteReply, nowMs: number): void {
        const isCandidate = this.role === QuorumRole.Candidate || this.role === QuorumRole.PreCandidate;
        const isCurrent = isCandidate && message.term === this.hardState.term;
        if (isCurrent && this.candidacy.recordVote(from, message.term, message.granted)) {
            this.countVotes(nowMs);
        }
    }

    private findRefusal(message: VoteRequest, nowMs: number): VoteRefusal | undefined {
        if (this.hasLeaderContact(nowMs)) {
            return VoteRefusal.LeaderContact;
        }
        return this.isUpToDate(message) ? undefined : VoteRefusal.OutdatedLog;
    }

    private isUpToDate(message: VoteRequest): boolean {
        const { lastIndex, lastTerm } = this.log;
        return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastIndex >= lastIndex);
    }

    private recordRefusal(candidate: string, message: VoteRequest, reason: VoteRefusal | undefined): void {
        if (reason !== undefined) {
            const isPreVote = message.kind === QuorumMessageKind.PreVote;
            this.notices.push({ kind: QuorumNoticeKind.VoteRefused, term: message.term, isPreVote, candidate, reason });
        }
    }

    private recordLostRound(nowMs: number): void {
        const isPreVote = this.role === QuorumRole.PreCandidate;
        if (!isPreVote && this.role !== QuorumRole.Candidate) {
            return;
        }
        const granted = isPreVote ? this.candidacy.preVoters(this.voters, nowMs) : this.candidacy.votersFor(this.voters);
        const missing = this.voters.filter((voter) => !granted.includes(voter));
        this.notices.push({ kind: QuorumNoticeKind.RoundLost, term: this.hardState.term + Number(isPreVote), isPreVote, granted, missing });
    }

    private recordStepDown(reason: StepDownReason, nowMs: number): void {
        const silent = this.progress.silentVoters(this.voters, nowMs);
        this.notices.push({ kind: QuorumNoticeKind.SteppedDown, term: this.hardState.term, reason, silent });
    }

    private handleAppend(from: string, message: AppendMessage, nowMs: number): void {
        if (message.term < this.hardState.term) {
            this.sendAppendReply(from, false, 0);
            return;
        }
        this.acceptLeader(from, nowMs);
        this.leaderCommitIndex = message.commitIndex;
        const { previousIndex, previousTerm, entries, commitIndex } = message;
        const localTerm = this.log.termAt(previousIndex);
        if (previousIndex > this.log.snapshot.lastIndex && localTerm !== previousTerm) {
            this.sendAppendReply(from, false, Math.min(previousIndex - 1, this.log.lastIndex), message.round);
            return;
        }
        const hasAdded = this.mergeEntries(entries);
        const matchIndex = Math.max(previousIndex + entries.length, this.log.snapshot.lastIndex);
        this.commitIndex = Math.max(this.commitIndex, Math.min(commitIndex, matchIndex));
        if (hasAdded) {
            this.sendDurableAppendReply(from, matchIndex, message.round);
        }
        else {
            this.sendAppendReply(from, true, Math.min(matchIndex, this.persistedIndex), message.round);
        }
    }

    /** Returns true if there were new entries. */
    private mergeEntries(entries: readonly LogEntry[]): boolean {
        const added = this.log.merge(entries);
        const first = added[0];
        if (first === undefined) {
            return false;
        }
        assertInvariant(first.index > this.commitIndex, "a committed entry never changes", `${this.self} entry ${first.index}`);
        this.newEntries.push(...added);
        return true;
    }

    private handleSnapshot(from: string, message: SnapshotMessage, nowMs: number): void {
        if (message.term < this.hardState.term) {
            this.sendAppendReply(from, false, 0);
            return;
        }
        this.acceptLeader(from, nowMs);
        const { snapshot } = message;
        if (snapshot.lastIndex > this.commitIndex) {
            this.log.compact(snapshot);
            this.newSnapshot = snapshot;
            this.receivedSnapshot = snapshot;
            this.commitIndex = snapshot.lastIndex;
            this.appliedIndex = snapshot.lastIndex;
            this.sendDurableAppendReply(from, snapshot.lastIndex);
        }
        else {
            this.sendAppendReply(from, true, Math.min(snapshot.lastIndex, this.persistedIndex));
        }
    }

    private acceptLeader(leader: string, nowMs: number): void {
        assertInvariant(!this.isLeader, "a term has at most one leader", `${this.self} and ${leader} in term ${this.hardState.term}`);
        this.role = QuorumRole.Follower;
        this.leader = leader;
        this.leaderContactAtMs = nowMs;
        this.candidacy.recordLeader();
        this.candidacy.endTerm();
        this.resetElectionTimer(nowMs);
    }

    private handleAppendReply(from: string, message: AppendReply, nowMs: number): void {
        if (!this.isLeader || message.term !== this.hardState.term) {
            return;
        }
        if (!this.progress.recordReply(from, message.accepted, message.matchIndex, nowMs)) {
            return;
        }
        this.progress.recordRound(from, message.round);
        this.advanceCommit();
        this.confirmReads();
        if (this.progress.nextIndex(from, this.log.lastIndex) <= this.log.lastIndex) {
            this.sendAppend(from);
        }
    }

    private advanceCommit(): void {
        const index = this.progress.majorityIndex(this.voters, this.persistedIndex);
        if (index > this.commitIndex && this.log.termAt(index) === this.hardState.term) {
            this.commitIndex = index;
            this.heartbeatDueAtMs = 0;
        }
    }

    private sendAppend(to: string): void {
        const nextIndex = this.progress.nextIndex(to, this.log.lastIndex);
        const previousIndex = nextIndex - 1;
        const previousTerm = this.log.termAt(previousIndex);
        const { term } = this.hardState;
        if (previousTerm === undefined) {
            this.send(to, { kind: QuorumMessageKind.Snapshot, term, snapshot: this.log.snapshot });
            this.progress.recordSent(to, this.log.snapshot.lastIndex);
            return;
        }
        const entries = this.log.slice(nextIndex, previousIndex + MAX_ENTRIES_PER_APPEND);
        this.progress.recordSent(to, previousIndex + entries.length);
        const { commitIndex, reads: { round } } = this;
        this.send(to, { kind: QuorumMessageKind.Append, term, previousIndex, previousTerm, entries, commitIndex, round });
    }

    private sendAppendReply(to: string, accepted: boolean, matchIndex: number, round = 0): void {
        this.send(to, { kind: QuorumMessageKind.AppendReply, term: this.hardState.term, accepted, matchIndex, round });
    }

    private sendDurableAppendReply(to: string, matchIndex: number, round = 0): void {
        const { term } = this.hardState;
        this.durableMessages.push({ to, message: { kind: QuorumMessageKind.AppendReply, term, accepted: true, matchIndex, round } });
    }

    private becomeFollower(term: number, leader: string | undefined, nowMs: number): void {
        if (term > this.hardState.term) {
            this.hardState = { term, votedFor: undefined };
            this.candidacy.endTerm();
        }
        this.role = QuorumRole.Follower;
        this.leader = leader;
        this.resetElectionTimer(nowMs);
    }

    private resetElectionTimer(nowMs: number, timeoutMs = this.electionTimeoutMs): void {
        this.electionDueAtMs = nowMs + timeoutMs + this.random() * timeoutMs;
    }

    private get electionTimeoutMs(): number {
        return this.leaderContactAtMs === Number.NEGATIVE_INFINITY ? FIRST_ELECTION_TIMEOUT_MS : ELECTION_TIMEOUT_MS;
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
