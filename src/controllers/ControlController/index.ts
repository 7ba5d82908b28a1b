import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { ApplyDecisionKind } from "../../decisions/configuration/ApplyDecisionKind.js";
import { ApplyRequest } from "../../decisions/configuration/ApplyRequest.js";
import { AcceptedChange } from "../../decisions/configuration/AcceptedChange.js";
import { decideApply } from "../../decisions/configuration/decideApply/index.js";
import { PartKind } from "../../decisions/configuration/PartKind.js";
import { Roster } from "../../decisions/claims/Roster.js";
import { EntryKind } from "../../decisions/quorum/EntryKind.js";
import { QuorumMessage } from "../../decisions/quorum/QuorumMessage.js";
import { QuorumSnapshot } from "../../decisions/quorum/QuorumSnapshot.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { Disk } from "../../storage/Disk.js";
import { ConfigurationController } from "../ConfigurationController/index.js";
import { QuorumController } from "../QuorumController/index.js";
import { QuorumStore } from "../QuorumStore/index.js";

/** Number of accepted changes whose results are retained for retries. */
const MAX_RETAINED_CHANGES = 10_000;

/** Decides apply requests on a control VM. A change is accepted once a majority of the voters has it on disk. */
export class ControlController {
    private readonly versionsByChangeId = new Map<string, number>();
    private queue: Promise<unknown> = Promise.resolve();
    /** Replicated log, shared with the other control VMs. */
    readonly quorum: QuorumController;

    private constructor(
        store: QuorumStore,
        private readonly configuration: ConfigurationController,
        private readonly events: EventLog,
        send: (to: string, message: QuorumMessage) => void,
        learners: () => readonly string[],
    ) {
        const { snapshot } = store.state;
        if (snapshot.lastIndex > 0) {
            this.restore(snapshot);
        }
        this.quorum = QuorumController.create(store, {
            send,
            learners,
            applyChange: (change) => this.installChange(change),
            applyItems: () => undefined,
            restore: (restored) => this.restore(restored),
            createSnapshot: () => ({
                position: configuration.view.position,
                parts: [...configuration.view.parts.values()],
                items: [],
                retained: [...this.versionsByChangeId].map(([changeId, manifestVersion]) => ({ changeId, manifestVersion })),
            }),
        }, events);
    }

    /**
     * Opens the data folder and joins the quorum.
     *
     * @param disk - Data folder.
     * @param vm - Name of the VM.
     * @param configuration - Configuration of this process.
     * @param events - Event log.
     * @param send - Sends a message to another control VM by its identity.
     * @param learners - Returns the identities of live control VMs.
     * @throws FleetError if the data folder cannot be used or is corrupt.
     */
    static async create(
        disk: Disk,
        vm: string,
        configuration: ConfigurationController,
        events: EventLog,
        send: (to: string, message: QuorumMessage) => void,
        learners: () => readonly string[],
    ): Promise<ControlController> {
        const store = await QuorumStore.create(disk, vm);
        if (store.droppedBytes > 0) {
            events.record(EventNumber.LogTailDropped, { droppedBytes: store.droppedBytes });
        }
        return new ControlController(store, configuration, events, send, learners);
    }

    /**
     * Decides an operator's request. Requests are decided one at a time.
     *
     * @throws FleetError if this VM is not the leader, or cannot determine whether the change was accepted.
     */
    apply(request: ApplyRequest): Promise<ApplyDecision> {
        return this.enqueue(() => this.decide(request));
    }

    /** Commits a new roster of witnesses, unless another one has taken effect in the meantime. */
    setRoster(roster: Roster): Promise<void> {
        return this.enqueue(async () => {
            const { position, roster: current } = this.configuration.view;
            if (this.quorum.isReady && roster.epoch === (current?.epoch ?? 0) + 1) {
                const change: AcceptedChange = {
                    position: { ...position, term: this.quorum.term, version: position.version + 1 },
                    changeId: `roster-${roster.epoch}`,
                    delta: { set: [{ kind: PartKind.Roster, value: roster }], removed: [] },
                };
                await this.quorum.commit({ kind: EntryKind.Change, change });
            }
        });
    }

    /** Stops the timers, and waits for the end of the write in progress. */
    close(): Promise<void> {
        return this.quorum.close();
    }

    private async decide(request: ApplyRequest): Promise<ApplyDecision> {
        await this.quorum.confirmRead();
        const decision = decideApply(this.configuration.view, this.versionsByChangeId, request, this.quorum.term);
        switch (decision.kind) {
            case ApplyDecisionKind.Accept:
                await this.quorum.commit({ kind: EntryKind.Change, change: decision.change });
                break;
            case ApplyDecisionKind.Conflict: {
                const { version, winner, differing } = decision;
                this.events.record(EventNumber.ConfigurationRefused, { version, winner, differing, changeId: request.changeId });
                break;
            }
            case ApplyDecisionKind.Repeat:
                break;
        }
        return decision;
    }

    private installChange(change: AcceptedChange): void {
        const { term, version, manifestVersion } = change.position;
        this.retain(change.changeId, manifestVersion);
        this.events.record(EventNumber.ConfigurationAccepted, { term, version, manifestVersion, changeId: change.changeId });
        this.configuration.installChanges([change]);
    }

    private restore(snapshot: QuorumSnapshot): void {
        snapshot.retained.forEach(({ changeId, manifestVersion }) => this.retain(changeId, manifestVersion));
        this.configuration.installSnapshot(snapshot.position, snapshot.parts);
    }

    private retain(changeId: string, manifestVersion: number): void {
        this.versionsByChangeId.set(changeId, manifestVersion);
        const oldest = this.versionsByChangeId.keys().next();
        if (this.versionsByChangeId.size > MAX_RETAINED_CHANGES && oldest.done !== true) {
            this.versionsByChangeId.delete(oldest.value);
        }
    }

    private enqueue<T>(action: () => Promise<T>): Promise<T> {
        const done = this.queue.then(action);
        this.queue = done.catch(() => undefined);
        return done;
    }
}
