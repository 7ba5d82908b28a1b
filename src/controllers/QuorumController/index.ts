import { nowMs } from "../../clock/nowMs/index.js";
import { EntryContent } from "../../decisions/quorum/EntryContent.js";
import { EntryKind } from "../../decisions/quorum/EntryKind.js";
import { LogEntry } from "../../decisions/quorum/LogEntry.js";
import { QuorumEvent } from "../../decisions/quorum/QuorumEvent.js";
import { QuorumEventKind } from "../../decisions/quorum/QuorumEventKind.js";
import { QuorumMachine } from "../../decisions/quorum/QuorumMachine/index.js";
import { QuorumMessage } from "../../decisions/quorum/QuorumMessage.js";
import { QuorumOutput } from "../../decisions/quorum/QuorumOutput.js";
import { QuorumSnapshot } from "../../decisions/quorum/QuorumSnapshot.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { QuorumStore } from "../QuorumStore/index.js";
import { QuorumPorts } from "../QuorumPorts.js";

const TICK_MS = 50;
const COMPACT_AFTER_ENTRIES = 1_000;

interface Waiter {
    readonly term: number;
    readonly resolve: () => void;
    readonly reject: (error: FleetError) => void;
}

/** Runs the quorum machine of a control VM: makes its outputs durable, sends them, and applies what is committed. */
export class QuorumController {
    private readonly machine: QuorumMachine;
    private readonly timer: NodeJS.Timeout;
    private readonly waiters = new Map<number, Waiter>();
    private queue: Promise<void> = Promise.resolve();
    private failure: FleetError | undefined;
    private wasLeader = false;

    private constructor(
        private readonly store: QuorumStore,
        private readonly ports: QuorumPorts,
        private readonly events: EventLog,
    ) {
        this.machine = QuorumMachine.create(store.identity, store.state, Math.random, nowMs());
        this.timer = setInterval(() => void this.take({ kind: QuorumEventKind.Tick }), TICK_MS);
    }

    /**
     * Starts the quorum of a control VM.
     *
     * @param store - Its data folder.
     * @param ports - How it sends and applies.
     * @param events - Log.
     */
    static create(store: QuorumStore, ports: QuorumPorts, events: EventLog): QuorumController {
        return new QuorumController(store, ports, events);
    }

    /** Identity of this control VM. */
    get identity(): string {
        return this.store.identity;
    }

    /** True while this VM leads and knows all that was committed. */
    get isReady(): boolean {
        return this.failure === undefined && this.machine.isReady;
    }

    /** Identity of the leader as far as known. */
    get leader(): string | undefined {
        return this.machine.knownLeader;
    }

    /** True while this VM has applied all that its leader says is committed. */
    get isCurrent(): boolean {
        return this.failure === undefined && this.machine.isCurrent;
    }

    /** True once the disk has failed; nothing is decided here any more. */
    get hasFailed(): boolean {
        return this.failure !== undefined;
    }

    /** True if this VM has no log yet. */
    get isEmpty(): boolean {
        return this.machine.lastIndex === 0 && this.machine.term === 0;
    }

    /** Current term. */
    get term(): number {
        return this.machine.term;
    }

    /** Identities that vote. */
    get voters(): readonly string[] {
        return this.machine.voters;
    }

    /** Tells on the leader whether another control VM has caught up with the log, so that it may vote. */
    hasCaughtUp(identity: string): boolean {
        return this.machine.hasCaughtUp(identity, nowMs());
    }

    /** Takes a message of another control VM. */
    receive(from: string, message: QuorumMessage): void {
        void this.take({ kind: QuorumEventKind.Message, from, message });
    }

    /** Makes this VM the only voter of a new log; throws if it has a log already. */
    async bootstrap(): Promise<void> {
        if (this.machine.lastIndex > 0 || this.machine.term > 0) {
            throw this.error("this control VM has a log already");
        }
        await this.take({ kind: QuorumEventKind.Bootstrap });
    }

    /**
     * Writes an entry and waits until it is committed.
     *
     * @throws FleetError if this VM does not lead, or stops to lead before it knows.
     */
    async commit(content: EntryContent): Promise<void> {
        let committed: Promise<void> | undefined;
        await this.enqueue(async () => {
            if (!this.isReady) {
                throw this.error("this control VM does not lead; try another one");
            }
            const before = this.machine.lastIndex;
            const output = this.machine.step({ kind: QuorumEventKind.Propose, content }, nowMs());
            if (this.machine.lastIndex === before) {
                throw this.error("a change of voters is under way; try again");
            }
            committed = this.waitFor(this.machine.lastIndex);
            await this.carryOut(output);
        });
        await committed;
    }

    /** Adds a voter that has caught up with the log, or removes one. */
    async changeVoters(identity: string, add: boolean): Promise<void> {
        const { voters } = this.machine;
        if (add === voters.includes(identity)) {
            return;
        }
        if (add && !this.machine.hasCaughtUp(identity, nowMs())) {
            throw this.error(`${identity} has not caught up with the log; try again`);
        }
        const others = voters.filter((voter) => voter !== identity);
        await this.commit({ kind: EntryKind.Voters, voters: add ? [...others, identity] : others });
        this.events.record(EventNumber.VoterChanged, { voters: this.machine.voters });
    }

    /** Stops the timers. */
    close(): void {
        clearInterval(this.timer);
    }

    private waitFor(index: number): Promise<void> {
        const { term } = this.machine;
        const committed = new Promise<void>((resolve, reject) => this.waiters.set(index, { term, resolve, reject }));
        committed.catch(() => undefined);
        return committed;
    }

    private take(event: QuorumEvent): Promise<void> {
        return this.enqueue(async () => {
            if (this.failure === undefined) {
                this.machine.setLearners(this.ports.learners());
                await this.carryOut(this.machine.step(event, nowMs()));
            }
        }).catch((thrown: unknown) => this.events.record(EventNumber.DecisionDropped, { error: toError(thrown).message }));
    }

    private enqueue(action: () => Promise<void>): Promise<void> {
        const done = this.queue.then(action);
        this.queue = done.catch(() => undefined);
        return done;
    }

    private async carryOut(output: QuorumOutput): Promise<void> {
        try {
            await this.save(output);
        }
        catch (thrown) {
            this.fail(toError(thrown));
            throw thrown;
        }
        output.messages.forEach(({ to, message }) => this.ports.send(to, message));
        if (output.restored !== undefined) {
            this.ports.restore(output.restored);
        }
        output.committed.forEach((entry) => this.apply(entry));
        this.noteRole();
        await this.compact();
    }

    private async save(output: QuorumOutput): Promise<void> {
        const isNeeded = output.hardState !== undefined || output.entries.length > 0 || output.snapshot !== undefined;
        if (isNeeded) {
            await this.store.save(output, this.machine.entriesBehindSnapshot());
        }
    }

    private apply(entry: LogEntry): void {
        if (entry.kind === EntryKind.Change) {
            this.ports.apply(entry.change);
        }
        if (entry.kind === EntryKind.Items) {
            this.ports.applyItems(entry.proposal, entry.changes, entry.index);
        }
        const waiter = this.waiters.get(entry.index);
        if (waiter !== undefined) {
            this.waiters.delete(entry.index);
            if (waiter.term === entry.term) {
                waiter.resolve();
            }
            else {
                waiter.reject(this.error("another leader's entry took its place; it was not accepted"));
            }
        }
    }

    private async compact(): Promise<void> {
        if (this.machine.uncompacted >= COMPACT_AFTER_ENTRIES) {
            const position = this.machine.appliedPosition();
            const snapshot: QuorumSnapshot = { ...this.ports.snapshot(), ...position };
            await this.carryOut(this.machine.step({ kind: QuorumEventKind.Compact, snapshot }, nowMs()));
        }
    }

    private noteRole(): void {
        const { isLeader, term } = this.machine;
        if (isLeader && !this.wasLeader) {
            this.events.record(EventNumber.LeaderElected, { term });
        }
        if (!isLeader && this.wasLeader) {
            this.events.record(EventNumber.LeaderSteppedDown, { term });
            this.waiters.forEach((waiter) => waiter.reject(this.error("the leader stepped down; send it again with the same change id")));
            this.waiters.clear();
        }
        this.wasLeader = isLeader;
    }

    private fail(cause: Error): void {
        this.failure = FleetError.create({ step: Step.Storage, peer: this.identity, cause }, cause.message);
        this.events.record(EventNumber.StorageFailed, { error: cause.message });
        this.waiters.forEach((waiter) => waiter.reject(this.error("the disk failed; send it again with the same change id")));
        this.waiters.clear();
    }

    private error(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.identity }, problem);
    }
}
