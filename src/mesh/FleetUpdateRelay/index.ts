import { FleetTable } from "../../decisions/fleet/FleetTable/index.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { isGateRecord } from "../../decisions/fleet/isGateRecord/index.js";
import { updateIntervals } from "../../decisions/fleet/updateIntervals/index.js";
import { packLoads } from "../../decisions/fleet/packLoads/index.js";
import { unpackLoads } from "../../decisions/fleet/unpackLoads/index.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { FleetUpdateRelayCallbacks } from "../FleetUpdateRelayCallbacks.js";
import { ThrottledTask } from "../ThrottledTask/index.js";

const NO_LOADS = packLoads([]);

/**
 * Relays updates of gate records and loads at a control VM. Sends all updates to its subscribers, and those received from
 * proxies also to the other control VMs. Batches updates that arrive in close succession, so that many simultaneous ones,
 * such as at a start of the fleet, cause only a few messages.
 */
export class FleetUpdateRelay {
    private readonly table = FleetTable.create();
    /** Subscribed proxies, and whether they also receive loads. */
    private readonly subscribers = new Map<string, boolean>();
    private readonly latestLoads = new Map<string, GateLoadReport>();
    /** Updates since the last message; local ones were received from proxies, not from control VMs. */
    private pendingLocalRecords = new Map<string, GateRecord>();
    private pendingRecords = new Map<string, GateRecord>();
    private pendingLocalLoads = new Map<string, GateLoadReport>();
    private pendingLoads = new Map<string, GateLoadReport>();
    /** VMs of pending loads with a changed grade. */
    private readonly pendingGradeChanges = new Set<string>();
    private readonly recordsTask = ThrottledTask.create(() => this.flushRecords());
    private readonly loadsTask = ThrottledTask.create(() => this.flushLoads(new Map(this.pendingLoads)));
    private readonly gradesTask = ThrottledTask.create(() => this.flushGradeChanges());

    private constructor(private readonly callbacks: FleetUpdateRelayCallbacks) {}

    /**
     * Creates a relay without subscribers.
     *
     * @param callbacks - Functions that the relay calls to send messages.
     */
    static create(callbacks: FleetUpdateRelayCallbacks): FleetUpdateRelay {
        return new FleetUpdateRelay(callbacks);
    }

    /** Number of subscribed proxies. */
    get subscriberCount(): number {
        return this.subscribers.size;
    }

    /** Subscribes a proxy, and sends it all known records and loads. */
    subscribe(vm: string, wantsLoads: boolean): void {
        this.subscribers.set(vm, wantsLoads);
        this.callbacks.send(vm, { kind: MessageKind.FleetUpdate, records: this.table.all, loads: packLoads([...this.latestLoads.values()]) });
    }

    /** Ends the subscription of a proxy. */
    unsubscribe(vm: string): void {
        this.subscribers.delete(vm);
    }

    /** Sends a message to all subscribers. */
    sendToSubscribers(message: Message): void {
        this.subscribers.forEach((_wantsLoads, vm) => this.callbacks.send(vm, message));
    }

    /**
     * Merges updates and schedules their relay.
     *
     * @param records - Gate records.
     * @param packedLoads - Packed loads of gates.
     * @param isFromProxy - False if another control VM has relayed the updates.
     */
    handleUpdate(records: readonly unknown[], packedLoads: Uint8Array, isFromProxy: boolean): void {
        if (isFromProxy) {
            records.filter(isGateRecord).forEach((record) => this.returnFormerRecord(record));
        }
        const formerRefusals = this.table.refusals;
        const merged = this.table.merge(records);
        if (this.table.refusals > formerRefusals) {
            this.callbacks.recordRefusal("gate records", this.table.size + this.table.refusals - formerRefusals, this.table.size);
        }
        const intervals = updateIntervals(this.table.size);
        merged.forEach((record) => {
            this.pendingRecords.set(record.vm, record);
            if (isFromProxy) {
                this.pendingLocalRecords.set(record.vm, record);
            }
        });
        if (merged.length > 0) {
            this.recordsTask.request(intervals.recordsMs);
        }
        const loads = unpackLoads(packedLoads, (hash) => this.table.vmOf(hash));
        loads.forEach((load) => this.addLoad(load, isFromProxy));
        if (this.pendingGradeChanges.size > 0) {
            this.gradesTask.request(intervals.gradesMs);
        }
        if (loads.length > 0) {
            this.loadsTask.request(intervals.loadsMs);
        }
    }

    /** Cancels scheduled messages. */
    close(): void {
        [this.recordsTask, this.loadsTask, this.gradesTask].forEach((task) => task.close());
    }

    /** Gives a proxy that has restarted the record of its former run, before its new record replaces that. */
    private returnFormerRecord({ vm, run }: GateRecord): void {
        const former = this.table.find(vm);
        if (former?.endpoint !== undefined && former.run < run) {
            this.callbacks.send(vm, { kind: MessageKind.FormerRecord, record: former });
        }
    }

    private addLoad(load: GateLoadReport, isFromProxy: boolean): void {
        const { vm, grade } = load;
        if ((this.latestLoads.get(vm)?.grade ?? Grade.Trusted) !== grade) {
            this.pendingGradeChanges.add(vm);
        }
        this.latestLoads.set(vm, load);
        this.pendingLoads.set(vm, load);
        if (isFromProxy) {
            this.pendingLocalLoads.set(vm, load);
        }
    }

    private flushRecords(): void {
        this.sendToSubscribers({ kind: MessageKind.FleetUpdate, records: [...this.pendingRecords.values()], loads: NO_LOADS });
        if (this.pendingLocalRecords.size > 0) {
            this.sendToPeers({ kind: MessageKind.FleetUpdate, records: [...this.pendingLocalRecords.values()], loads: NO_LOADS });
        }
        this.pendingRecords = new Map();
        this.pendingLocalRecords = new Map();
    }

    private flushGradeChanges(): void {
        this.flushLoads(new Map([...this.pendingLoads].filter(([vm]) => this.pendingGradeChanges.has(vm))));
    }

    private flushLoads(loads: ReadonlyMap<string, GateLoadReport>): void {
        const localLoads = [...loads.values()].filter(({ vm }) => this.pendingLocalLoads.has(vm));
        const message: Message = { kind: MessageKind.FleetUpdate, records: [], loads: packLoads([...loads.values()]) };
        [...loads.keys()].forEach((vm) => {
            this.pendingLoads.delete(vm);
            this.pendingLocalLoads.delete(vm);
            this.pendingGradeChanges.delete(vm);
        });
        if (loads.size > 0) {
            [...this.subscribers].filter(([, wantsLoads]) => wantsLoads).forEach(([vm]) => this.callbacks.send(vm, message));
        }
        if (localLoads.length > 0) {
            this.sendToPeers({ kind: MessageKind.FleetUpdate, records: [], loads: packLoads(localLoads) });
        }
    }

    private sendToPeers(message: Message): void {
        this.callbacks.peers().forEach((vm) => this.callbacks.send(vm, message));
    }
}
