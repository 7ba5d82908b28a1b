import { randomUUID } from "node:crypto";
import { ItemStore } from "../../decisions/items/ItemStore/index.js";
import { ItemOutcome } from "../../decisions/items/ItemOutcome.js";
import { ItemOutcomeKind } from "../../decisions/items/ItemOutcomeKind.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { EntryKind } from "../../decisions/quorum/EntryKind.js";
import { QuorumMessage } from "../../decisions/quorum/QuorumMessage.js";
import { QuorumSnapshot } from "../../decisions/quorum/QuorumSnapshot.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { Disk } from "../../storage/Disk.js";
import { ItemControllerSetup } from "../ItemControllerSetup.js";
import { QuorumController } from "../QuorumController/index.js";
import { QuorumStore } from "../QuorumStore/index.js";

/** Bounds the length of a log line. */
const MAX_LOGGED_KEYS = 8;
const NO_POSITION = { term: 0, version: 0, manifestVersion: 0 };

/**
 * Accepts changes of configuration items on a control VM: a change is accepted once a majority of the voters has it on
 * disk. Whether it is taken is decided when it is applied, by all control VMs alike.
 */
export class ItemController {
    private book = ItemStore.create();
    private appliedIndex = 0;
    /** Changes that wait here for their outcome. */
    private readonly outcomes = new Map<string, ItemOutcome | undefined>();
    /** Agreement with the other control VMs. */
    readonly quorum: QuorumController;

    private constructor(store: QuorumStore, private readonly setup: ItemControllerSetup, private readonly events: EventLog) {
        this.book.merge(store.state.snapshot.items);
        this.appliedIndex = store.state.snapshot.lastIndex;
        this.quorum = QuorumController.create(store, {
            send: (to, message) => setup.send(to, message),
            learners: () => setup.learners(),
            apply: () => undefined,
            applyItems: (proposal, changes, position) => this.applyItems(proposal, changes, position),
            restore: (snapshot) => this.restore(snapshot),
            snapshot: () => ({ position: NO_POSITION, parts: [], items: this.book.all, retained: [] }),
        }, events);
    }

    /**
     * Opens the data folder and takes part in the quorum.
     *
     * @param disk - Data folder.
     * @param vm - Name of the VM.
     * @param setup - How it reaches the other control VMs, and who is told of changes.
     * @param events - Log.
     * @throws FleetError if the data folder cannot be used or is corrupt.
     */
    static async create(disk: Disk, vm: string, setup: ItemControllerSetup, events: EventLog): Promise<ItemController> {
        const store = await QuorumStore.create(disk, vm);
        if (store.droppedBytes > 0) {
            events.record(EventNumber.LogTailDropped, { droppedBytes: store.droppedBytes });
        }
        return new ItemController(store, setup, events);
    }

    /** Position in the log of the latest change that this VM has applied. */
    get position(): number {
        return this.appliedIndex;
    }

    /** Items as far as this VM has applied them. */
    get items(): readonly VersionedItem[] {
        return this.book.all;
    }

    /**
     * Decides a change on the leader.
     *
     * @throws FleetError if this VM does not lead, or cannot tell whether the change was accepted.
     */
    async propose(changes: readonly VersionedItem[]): Promise<ItemOutcome> {
        if (this.quorum.voters.length < this.setup.minVoters) {
            throw this.error(`${this.quorum.voters.length} control VMs vote so far, of ${this.setup.minVoters} that are needed`);
        }
        const proposal = randomUUID();
        this.outcomes.set(proposal, undefined);
        try {
            await this.quorum.commit({ kind: EntryKind.Items, proposal, changes });
            const outcome = this.outcomes.get(proposal);
            if (outcome === undefined) {
                throw this.error("the change was committed but not applied");
            }
            return outcome;
        }
        finally {
            this.outcomes.delete(proposal);
        }
    }

    /**
     * Reads all items on the leader, with all that was accepted before.
     *
     * @throws FleetError if this VM does not lead.
     */
    async read(): Promise<readonly VersionedItem[]> {
        await this.quorum.commit({ kind: EntryKind.Barrier });
        return this.book.all;
    }

    /** Takes a message of another control VM. */
    receive(from: string, message: QuorumMessage): void {
        this.quorum.receive(from, message);
    }

    /** Stops the timers. */
    close(): void {
        this.quorum.close();
    }

    private applyItems(proposal: string, changes: readonly VersionedItem[], position: number): void {
        this.appliedIndex = position;
        const outcome = this.book.validate(changes);
        const keys = changes.map(({ key, version }) => `${key}@${version}`).slice(0, MAX_LOGGED_KEYS);
        if (this.outcomes.has(proposal)) {
            this.outcomes.set(proposal, outcome);
        }
        if (outcome.kind !== ItemOutcomeKind.Accepted) {
            this.events.record(EventNumber.ItemsRefused, { proposal, outcome: outcome.kind, keys });
            return;
        }
        const news = this.book.merge(changes);
        this.events.record(EventNumber.ItemsAccepted, { proposal, changes: changes.length, news: news.length, keys });
        this.setup.onItems(news);
    }

    private restore({ items, lastIndex }: QuorumSnapshot): void {
        this.book = ItemStore.create();
        this.appliedIndex = lastIndex;
        this.setup.onItems(this.book.merge(items));
    }

    private error(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.quorum.identity }, problem);
    }
}
