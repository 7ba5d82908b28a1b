import { FleetTable } from "../../decisions/fleet/FleetTable/index.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { updateIntervals } from "../../decisions/fleet/updateIntervals/index.js";
import { packLoads } from "../../decisions/fleet/packLoads/index.js";
import { unpackLoads } from "../../decisions/fleet/unpackLoads/index.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { NewsSpreaderPorts } from "../NewsSpreaderPorts.js";
import { PacedTask } from "../PacedTask/index.js";

const NO_LOADS = packLoads([]);

/**
 * Passes news of the proxies on at a control VM: to the proxies that take their news here, and what proxies say here also
 * to the other control VMs. News that come closely one after the other go out in one message.
 */
export class NewsSpreader {
    private readonly table = FleetTable.create();
    /** Proxies that take the news, and whether they want the loads too. */
    private readonly subscribers = new Map<string, boolean>();
    private readonly latestLoads = new Map<string, GateLoadReport>();
    /** News since the last message: of proxies that report here, and of all. */
    private ownRecords = new Map<string, GateRecord>();
    private newRecords = new Map<string, GateRecord>();
    private ownLoads = new Map<string, GateLoadReport>();
    private newLoads = new Map<string, GateLoadReport>();
    /** Loads among these whose grade has changed. */
    private readonly regraded = new Set<string>();
    private readonly recordsTask = PacedTask.create(() => this.spreadRecords());
    private readonly loadsTask = PacedTask.create(() => this.spreadLoads(new Map(this.newLoads)));
    private readonly gradesTask = PacedTask.create(() => this.spreadGrades());

    private constructor(private readonly ports: NewsSpreaderPorts) {}

    /**
     * Creates a spreader that knows of no proxy.
     *
     * @param ports - How messages are sent.
     */
    static create(ports: NewsSpreaderPorts): NewsSpreader {
        return new NewsSpreader(ports);
    }

    /** Proxies that take their news here. */
    get subscriberCount(): number {
        return this.subscribers.size;
    }

    /** Takes a proxy in, and sends it all that is known. */
    subscribe(vm: string, wantsLoads: boolean): void {
        this.subscribers.set(vm, wantsLoads);
        this.ports.send(vm, { kind: MessageKind.FleetUpdate, records: this.table.all, loads: packLoads([...this.latestLoads.values()]) });
    }

    /** Sends a proxy nothing more. */
    unsubscribe(vm: string): void {
        this.subscribers.delete(vm);
    }

    /** Sends a message to all proxies that take their news here. */
    tellSubscribers(message: Message): void {
        this.subscribers.forEach((_wantsLoads, vm) => this.ports.send(vm, message));
    }

    /**
     * Takes news.
     *
     * @param records - Records of gates.
     * @param packedLoads - Their loads.
     * @param isFromProxy - False if another control VM has passed them on.
     */
    take(records: readonly GateRecord[], packedLoads: Uint8Array, isFromProxy: boolean): void {
        const news = this.table.merge(records);
        const pace = updateIntervals(this.table.size);
        news.forEach((record) => {
            this.newRecords.set(record.vm, record);
            if (isFromProxy) {
                this.ownRecords.set(record.vm, record);
            }
        });
        if (news.length > 0) {
            this.recordsTask.request(pace.recordsMs);
        }
        const loads = unpackLoads(packedLoads, (gate) => this.table.vmOf(gate));
        loads.forEach((load) => this.takeLoad(load, isFromProxy));
        if (this.regraded.size > 0) {
            this.gradesTask.request(pace.gradesMs);
        }
        if (loads.length > 0) {
            this.loadsTask.request(pace.loadsMs);
        }
    }

    /** Sends nothing more. */
    close(): void {
        [this.recordsTask, this.loadsTask, this.gradesTask].forEach((task) => task.close());
    }

    private takeLoad(load: GateLoadReport, isFromProxy: boolean): void {
        const { vm, grade } = load;
        if ((this.latestLoads.get(vm)?.grade ?? Grade.Trusted) !== grade) {
            this.regraded.add(vm);
        }
        this.latestLoads.set(vm, load);
        this.newLoads.set(vm, load);
        if (isFromProxy) {
            this.ownLoads.set(vm, load);
        }
    }

    private spreadRecords(): void {
        this.tellSubscribers({ kind: MessageKind.FleetUpdate, records: [...this.newRecords.values()], loads: NO_LOADS });
        if (this.ownRecords.size > 0) {
            this.tellPeers({ kind: MessageKind.FleetUpdate, records: [...this.ownRecords.values()], loads: NO_LOADS });
        }
        this.newRecords = new Map();
        this.ownRecords = new Map();
    }

    private spreadGrades(): void {
        this.spreadLoads(new Map([...this.newLoads].filter(([vm]) => this.regraded.has(vm))));
    }

    private spreadLoads(loads: ReadonlyMap<string, GateLoadReport>): void {
        const own = [...loads.values()].filter(({ vm }) => this.ownLoads.has(vm));
        const message: Message = { kind: MessageKind.FleetUpdate, records: [], loads: packLoads([...loads.values()]) };
        [...loads.keys()].forEach((vm) => {
            this.newLoads.delete(vm);
            this.ownLoads.delete(vm);
            this.regraded.delete(vm);
        });
        if (loads.size > 0) {
            [...this.subscribers].filter(([, wantsLoads]) => wantsLoads).forEach(([vm]) => this.ports.send(vm, message));
        }
        if (own.length > 0) {
            this.tellPeers({ kind: MessageKind.FleetUpdate, records: [], loads: packLoads(own) });
        }
    }

    private tellPeers(message: Message): void {
        this.ports.peers().forEach((vm) => this.ports.send(vm, message));
    }
}
