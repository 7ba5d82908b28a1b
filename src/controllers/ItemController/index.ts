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
import { ItemControllerOptions } from "../ItemControllerOptions.js";
import { QuorumController } from "../QuorumController/index.js";
import { QuorumStore } from "../QuorumStore/index.js";

/** Number of item keys in a log line; limits its length. */
const MAX_LOGGED_KEYS = 8;
/** Placeholder; the state of items has no configuration position. */
const NO_POSITION = { term: 0, version: 0, manifestVersion: 0 };

/**
 * Commits changes of configuration items on a control VM, that is, stores them on the disks of a majority of the voters.
 * Whether a committed change is accepted is decided when it is applied, with the same result on every control VM.
 */
export class ItemController {
    private itemStore = ItemStore.create();
    private appliedIndex = 0;
    /** Outcomes of the proposals that are pending on this VM; undefined until known. */
    private readonly outcomes = new Map<string, ItemOutcome | undefined>();
    /** Replicated log, shared with the other control VMs. */
    readonly quorum: QuorumController;

    private constructor(store: QuorumStore, private readonly options: ItemControllerOptions, private readonly events: EventLog) {
        this.itemStore.merge(store.state.snapshot.items);
        this.appliedIndex = store.state.snapshot.lastIndex;
        this.quorum = QuorumController.create(store, {
            send: (to, message) => options.send(to, message),
            learners: () => options.learners(),
            applyChange: () => undefined,
            applyItems: (proposal, changes, position) => this.applyItems(proposal, changes, position),
            restore: (snapshot) => this.restore(snapshot),
            createSnapshot: () => ({ position: NO_POSITION, parts: [], items: this.itemStore.all, retained: [] }),
        }, events);
    }

    /**
     * Opens the data folder and joins the quorum.
     *
     * @param disk - Data folder.
     * @param vm - Name of the VM.
     * @param options - Number of required voters and callbacks.
     * @param events - Event log.
     * @throws FleetError if the data folder cannot be used or is corrupt.
     */
    static async create(disk: Disk, vm: string, options: ItemControllerOptions, events: EventLog): Promise<ItemController> {
        const store = await QuorumStore.create(disk, vm);
        if (store.droppedBytes > 0) {
            events.record(EventNumber.LogTailDropped, { droppedBytes: store.droppedBytes });
        }
        return new ItemController(store, options, events);
    }

    /** Log index of the last change that this VM has applied. */
    get position(): number {
        return this.appliedIndex;
    }

    /** Items in the state that this VM has applied. */
    get items(): readonly VersionedItem[] {
        return this.itemStore.all;
    }

    /**
     * Proposes a change on the leader and waits for its outcome.
     *
     * @throws FleetError if there are too few voters, or if this VM is not the leader or cannot determine whether the change was
     * accepted.
     */
    async propose(changes: readonly VersionedItem[]): Promise<ItemOutcome> {
        if (this.quorum.voters.length < this.options.minVoters) {
            throw this.createError(`${this.quorum.voters.length} voting control VMs; ${this.options.minVoters} are required`);
        }
        const proposal = randomUUID();
        this.outcomes.set(proposal, undefined);
        try {
            await this.quorum.commit({ kind: EntryKind.Items, proposal, changes });
            const outcome = this.outcomes.get(proposal);
            if (outcome === undefined) {
                throw this.createError("the change was committed but not applied");
            }
            return outcome;
        }
        finally {
            this.outcomes.delete(proposal);
        }
    }

    /**
     * Reads all items on the leader, including every change committed before the call.
     *
     * @throws FleetError if this VM is not the leader.
     */
    async read(): Promise<readonly VersionedItem[]> {
        await this.quorum.confirmRead();
        return this.itemStore.all;
    }

    /** Handles a message from another control VM. */
    handleMessage(from: string, message: QuorumMessage): void {
        this.quorum.handleMessage(from, message);
    }

    /** Stops the timers, and waits for the end of the write in progress. */
    close(): Promise<void> {
        return this.quorum.close();
    }

    private applyItems(proposal: string, changes: readonly VersionedItem[], position: number): void {
        this.appliedIndex = position;
        const outcome = this.itemStore.validate(changes);
        const keys = changes.map(({ key, version }) => `${key}@${version}`).slice(0, MAX_LOGGED_KEYS);
        if (this.outcomes.has(proposal)) {
            this.outcomes.set(proposal, outcome);
        }
        if (outcome.kind !== ItemOutcomeKind.Accepted) {
            this.events.record(EventNumber.ItemsRefused, { proposal, outcome: outcome.kind, keys });
            return;
        }
        const added = this.itemStore.merge(changes);
        this.events.record(EventNumber.ItemsAccepted, { proposal, changes: changes.length, news: added.length, keys });
        this.options.onItems(added);
    }

    private restore({ items, lastIndex }: QuorumSnapshot): void {
        this.itemStore = ItemStore.create();
        this.appliedIndex = lastIndex;
        this.options.onItems(this.itemStore.merge(items));
    }

    private createError(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.quorum.identity }, problem);
    }
}
