import { nowMs } from "../../clock/nowMs/index.js";
import { EntryContent } from "../../decisions/quorum/EntryContent.js";
import { EntryKind } from "../../decisions/quorum/EntryKind.js";
import { LogEntry } from "../../decisions/quorum/LogEntry.js";
import { PeerContact } from "../../decisions/quorum/PeerContact.js";
import { QuorumEvent } from "../../decisions/quorum/QuorumEvent.js";
import { QuorumEventKind } from "../../decisions/quorum/QuorumEventKind.js";
import { QuorumMachine } from "../../decisions/quorum/QuorumMachine/index.js";
import { QuorumMessage } from "../../decisions/quorum/QuorumMessage.js";
import { QuorumOutput } from "../../decisions/quorum/QuorumOutput.js";
import { QuorumSnapshot } from "../../decisions/quorum/QuorumSnapshot.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ThrottledLog } from "../../logs/ThrottledLog/index.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { ElectionLog } from "../ElectionLog/index.js";
import { LogWriter } from "../LogWriter/index.js";
import { PendingCommits } from "../PendingCommits/index.js";
import { QuorumStore } from "../QuorumStore/index.js";
import { QuorumCallbacks } from "../QuorumCallbacks.js";

const TICK_MS = 50;
/** Time of a write to the data folder above which it is logged, in ms. */
const SLOW_WRITE_MS = 100;
/** Time without progress of a write after which the disk counts as hung, in ms; a write of several syncs of 1 s goes on. */
const HUNG_WRITE_MS = 4_000;
/** Number of applied entries after the snapshot that triggers a new snapshot. */
const COMPACTION_THRESHOLD_ENTRIES = 1_000;
/** Size of the documents in applied entries after the snapshot that triggers a new snapshot, in characters. */
const COMPACTION_THRESHOLD_CHARACTERS = 8 * 1_024 * 1_024;

interface PendingRead {
    readonly resolve: () => void;
    readonly reject: (error: FleetError) => void;
}

/** Runs the quorum machine of a control VM: persists its state, sends its messages, and applies committed entries. */
export class QuorumController {
    private readonly machine: QuorumMachine;
    private readonly timer: NodeJS.Timeout;
    private readonly pendingCommits = PendingCommits.create();
    private readonly pendingReads = new Map<number, PendingRead>();
    private readCount = 0;
    private readonly writer: LogWriter;
    private failure: FleetError | undefined;
    private wasLeader = false;
    private readonly electionLog: ElectionLog;
    private readonly throttledLog: ThrottledLog;
    /** Ticks since the write in progress has last advanced. Ticks are counted, since a process that was suspended has not waited. */
    private idleTicks = 0;
    private seenOperationCount = 0;
    /** Size of the documents in applied entries since the last compaction, in characters. */
    private uncompactedCharacters = 0;

    private constructor(
        private readonly store: QuorumStore,
        private readonly callbacks: QuorumCallbacks,
        private readonly events: EventLog,
    ) {
        this.electionLog = ElectionLog.create(events);
        this.throttledLog = ThrottledLog.create(events);
        this.writer = LogWriter.create(store, {
            handleWritten: (outputs) => this.handleWritten(outputs),
            handleDuration: (durationMs) => this.recordWrite(durationMs),
            handleFailure: (error) => this.handleStorageFailure(error),
        });
        this.machine = QuorumMachine.create(store.identity, store.state, Math.random, nowMs());
        this.timer = setInterval(() => this.handleTick(), TICK_MS);
    }

    /**
     * Starts the quorum of a control VM.
     *
     * @param store - Persistent store of the VM.
     * @param callbacks - Callbacks that send messages and apply entries.
     * @param events - Event log.
     */
    static create(store: QuorumStore, callbacks: QuorumCallbacks, events: EventLog): QuorumController {
        return new QuorumController(store, callbacks, events);
    }

    /** Identity of this control VM. */
    get identity(): string {
        return this.store.identity;
    }

    /** True while this VM is the leader and has all committed entries. */
    get isReady(): boolean {
        return this.failure === undefined && this.machine.isReady;
    }

    /** Identity of the leader, or undefined if unknown. */
    get leader(): string | undefined {
        return this.machine.knownLeader;
    }

    /** True while this VM is a ready leader, or a follower that has reached its leader's commit index. */
    get isCurrent(): boolean {
        return this.failure === undefined && this.machine.isCurrent;
    }

    /** True once the disk has failed; the VM then stops taking part in the quorum. */
    get hasFailed(): boolean {
        return this.failure !== undefined;
    }

    /** True if this VM has no log yet. */
    get isEmpty(): boolean {
        return this.machine.canBootstrap;
    }

    /** Current term. */
    get term(): number {
        return this.machine.term;
    }

    /** Identities of the voters. */
    get voters(): readonly string[] {
        return this.machine.voters;
    }

    /** Gauges of the elections and of the writes to the data folder. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "term", help: "Current term", read: () => this.term },
            { name: "leader_known", help: "1 if this VM leads or knows the leader", read: () => Number(this.leader !== undefined) },
            ...this.electionLog.gauges,
            { name: "log_write_queue", help: "Outputs that wait for the data folder", read: () => this.writer.waitingCount },
            { name: "log_write_ms", help: "Time of the latest write to the data folder", read: () => this.writer.lastDurationMs },
            { name: "log_write_longest_ms", help: "Longest time of a write to the data folder", read: () => this.writer.longestDurationMs },
            { name: "log_write_pending_ms", help: "Age of the write to the data folder that is in progress", read: () => this.writer.pendingMs },
        ];
    }

    /** Why this VM knows no leader, for the operator whose request is refused. */
    get leaderlessReason(): string {
        const { pendingMs } = this.writer;
        const writing = pendingMs >= SLOW_WRITE_MS ? `; a write to the data folder has taken ${Math.round(pendingMs)} ms so far` : "";
        const reason = this.voters.includes(this.identity) ? this.electionLog.lossReason : "this control VM has no vote";
        return `term ${this.term}; ${reason}${writing}`;
    }

    /** Returns true on the leader if another control VM has caught up with the log, so that it can become a voter. */
    hasCaughtUp(identity: string): boolean {
        return this.machine.hasCaughtUp(identity);
    }

    /** Contacts of the leader with all identities that it sends the log to, itself among them. */
    get contacts(): readonly PeerContact[] {
        return this.machine.contacts;
    }

    /** Handles a message from another control VM. */
    handleMessage(from: string, message: QuorumMessage): void {
        this.handleEvent({ kind: QuorumEventKind.Message, from, message });
    }

    /**
     * Starts a new log with this VM as its only voter, and waits until it is on disk.
     *
     * @throws FleetError if this VM already has a log, or its disk fails.
     */
    async bootstrap(): Promise<void> {
        if (!this.machine.canBootstrap) {
            throw this.createError("this control VM already has a log");
        }
        const output = this.step({ kind: QuorumEventKind.Bootstrap });
        const committed = this.pendingCommits.add(this.machine.lastIndex, this.machine.term, 0);
        this.processOutput(output);
        await committed;
    }

    /**
     * Appends an entry and waits until it is committed.
     *
     * @throws FleetError if this VM is not the leader or too many entries wait already; or if it is unknown whether the entry will be
     * committed, since no majority has stored it in time, or this VM has stopped being the leader.
     */
    commit(content: EntryContent): Promise<void> {
        return this.append(content, true);
    }

    /**
     * Waits until this VM has applied all entries that were committed before the call, and has proved since that it leads. Unlike a
     * commit it writes nothing to disk.
     *
     * @throws FleetError if this VM is not the leader, or stops being the leader meanwhile.
     */
    async confirmRead(): Promise<void> {
        if (!this.isReady) {
            throw this.createError("this control VM is not the leader; try another one");
        }
        if (!this.machine.canConfirmReads) {
            await this.commit({ kind: EntryKind.Barrier });
            return;
        }
        this.readCount += 1;
        const id = this.readCount;
        const confirmed = new Promise<void>((resolve, reject) => this.pendingReads.set(id, { resolve, reject }));
        this.handleEvent({ kind: QuorumEventKind.Read, id });
        await confirmed;
    }

    /**
     * Adds a voter that has caught up with the log, or removes one.
     *
     * @param identity - Identity of the voter.
     * @param isAddition - True to add the voter, false to remove it.
     * @throws FleetError if the new voter has not caught up, or the change could not be committed.
     */
    async changeVoters(identity: string, isAddition: boolean): Promise<void> {
        const { voters } = this.machine;
        if (isAddition === voters.includes(identity)) {
            return;
        }
        if (isAddition && !this.machine.hasCaughtUp(identity)) {
            throw this.createError(`${identity} has not caught up with the log; try again`);
        }
        const others = voters.filter((voter) => voter !== identity);
        await this.append({ kind: EntryKind.Voters, voters: isAddition ? [...others, identity] : others }, false);
        this.events.record(EventNumber.VoterChanged, { voters: this.machine.voters });
    }

    /** Stops the timers, and waits for the end of the write in progress. */
    async close(): Promise<void> {
        clearInterval(this.timer);
        this.pendingCommits.clear();
        await this.writer.close();
    }

    private async append(content: EntryContent, hasTimeout: boolean): Promise<void> {
        if (!this.isReady) {
            throw this.createError("this control VM is not the leader; try another one");
        }
        const size = sizeOf(content);
        if (!this.pendingCommits.hasRoomFor(size)) {
            throw this.createError(`${this.pendingCommits.count} changes wait for a majority of the control VMs; try again`);
        }
        const previousIndex = this.machine.lastIndex;
        const output = this.step({ kind: QuorumEventKind.Propose, content });
        if (this.machine.lastIndex === previousIndex) {
            throw this.createError("another change of voters is in progress; try again");
        }
        const { lastIndex, term } = this.machine;
        const createTimeoutError = (): FleetError =>
            this.createError(`not stored yet by ${this.machine.votersWithout(lastIndex).join(", ")}; retry`);
        const committed = this.pendingCommits.add(lastIndex, term, size, hasTimeout ? createTimeoutError : undefined);
        this.processOutput(output);
        await committed;
    }

    private handleTick(): void {
        const { endedOperationCount } = this.store;
        const isIdle = this.writer.isWriting && endedOperationCount === this.seenOperationCount;
        this.idleTicks = isIdle ? this.idleTicks + 1 : 0;
        this.seenOperationCount = endedOperationCount;
        if (this.idleTicks > 0 && this.idleTicks % (HUNG_WRITE_MS / TICK_MS) === 0) {
            this.events.record(EventNumber.WriteHung, { durationMs: Math.round(this.writer.pendingMs) });
            this.handleEvent({ kind: QuorumEventKind.Resign });
        }
        this.handleEvent({ kind: QuorumEventKind.Tick });
    }

    private handleEvent(event: QuorumEvent): void {
        if (this.failure === undefined) {
            this.runGuarded(() => this.processOutput(this.step(event)));
        }
    }

    private runGuarded(action: () => void): void {
        try {
            action();
        }
        catch (thrown) {
            this.events.record(EventNumber.DecisionDropped, { error: toError(thrown).message });
        }
    }

    private step(event: QuorumEvent): QuorumOutput {
        this.machine.setLearners(this.callbacks.learners());
        return this.machine.step(event, nowMs());
    }

    private processOutput(output: QuorumOutput): void {
        output.notices.forEach((notice) => this.electionLog.record(notice));
        output.messages.forEach(({ to, message }) => this.callbacks.send(to, message));
        if (output.writeNumber !== undefined || output.durableMessages.length > 0) {
            this.writer.write(output);
        }
        if (output.receivedSnapshot !== undefined) {
            this.callbacks.restore(output.receivedSnapshot);
        }
        output.committed.forEach((entry) => this.applyEntry(entry));
        output.confirmedReads.forEach((id) => this.resolveRead(id));
        this.trackLeadership();
        this.compact();
    }

    private handleWritten(outputs: readonly QuorumOutput[]): void {
        const messages = outputs.flatMap(({ durableMessages }) => durableMessages);
        this.runGuarded(() => messages.forEach(({ to, message }) => this.callbacks.send(to, message)));
        const writeNumber = outputs.findLast((output) => output.writeNumber !== undefined)?.writeNumber;
        if (writeNumber !== undefined) {
            this.handleEvent({ kind: QuorumEventKind.Persisted, writeNumber });
        }
    }

    private recordWrite(durationMs: number): void {
        if (durationMs >= SLOW_WRITE_MS) {
            this.throttledLog.record(EventNumber.WriteSlow, { durationMs: Math.round(durationMs), queue: this.writer.waitingCount });
        }
    }

    private applyEntry(entry: LogEntry): void {
        if (entry.kind === EntryKind.Change) {
            this.callbacks.applyChange(entry.change);
        }
        if (entry.kind === EntryKind.Items) {
            this.uncompactedCharacters += sizeOf(entry);
            this.callbacks.applyItems(entry.proposal, entry.changes, entry.index);
        }
        this.pendingCommits.settle(entry, () => this.createError("the change was not accepted: another leader's entry replaced it"));
    }

    private resolveRead(id: number): void {
        this.pendingReads.get(id)?.resolve();
        this.pendingReads.delete(id);
    }

    private rejectPending(problem: string): void {
        const error = this.createError(problem);
        this.pendingCommits.rejectAll(error);
        this.pendingReads.forEach(({ reject }) => reject(error));
        this.pendingReads.clear();
    }

    private compact(): void {
        const isLarge = this.uncompactedCharacters >= COMPACTION_THRESHOLD_CHARACTERS;
        if (isLarge || this.machine.uncompactedEntryCount >= COMPACTION_THRESHOLD_ENTRIES) {
            this.uncompactedCharacters = 0;
            const position = this.machine.appliedPosition();
            const snapshot: QuorumSnapshot = { ...this.callbacks.createSnapshot(), ...position };
            this.processOutput(this.machine.step({ kind: QuorumEventKind.Compact, snapshot }, nowMs()));
        }
    }

    private trackLeadership(): void {
        const { isLeader, term } = this.machine;
        if (isLeader && !this.wasLeader) {
            this.electionLog.recordLeadership();
            this.events.record(EventNumber.LeaderElected, { term });
        }
        if (!isLeader && this.wasLeader) {
            this.events.record(EventNumber.LeaderSteppedDown, { term, reason: this.electionLog.stepDownReason });
            this.rejectPending("the leader stepped down; retry with the same change id");
        }
        this.wasLeader = isLeader;
    }

    private handleStorageFailure(cause: Error): void {
        this.failure = FleetError.create({ step: Step.Storage, peer: this.identity, cause }, cause.message);
        this.events.record(EventNumber.StorageFailed, { error: cause.message });
        this.rejectPending("the disk failed; retry with the same change id");
    }

    private createError(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.identity }, problem);
    }
}

/** Size of the documents of an entry, in characters. */
function sizeOf(content: EntryContent): number {
    return content.kind === EntryKind.Items ? content.changes.reduce((sum, { document }) => sum + document.length, 0) : 0;
}
