import { alignedDelayMs } from "../../clock/alignedDelayMs/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { FleetTable } from "../../decisions/fleet/FleetTable/index.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { unpackLoads } from "../../decisions/fleet/unpackLoads/index.js";
import { chooseSubset } from "../../decisions/placement/chooseSubset/index.js";
import { GateIndex } from "../../decisions/placement/GateIndex/index.js";
import { PlacementCandidate } from "../../decisions/placement/PlacementCandidate.js";
import { rankGates } from "../../decisions/placement/rankGates/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { RequestKind } from "../../model/RequestKind.js";
import { TunnelClient } from "../../tunnel/TunnelClient/index.js";
import { WorkPort } from "../../tunnel/WorkPort.js";
import { FleetViewSetup } from "../FleetViewSetup.js";

/** Time between two looks at the connections to gates, in ms; nothing is looked at while none is waited for. */
const TICK_MS = 100;
/** Age up to which a load report is used, in ms; gates report at least once a second. */
const LOAD_VALID_MS = 3_000;
/** Service time assumed before any gate has reported, in ms. */
const UNKNOWN_SERVICE_MS = 300;
/** Gates of a service whose service times are averaged. */
const SAMPLED_GATES = 24;

/** What an entry knows of the gates of the fleet, and its connections to them. */
export class FleetView {
    private readonly table = FleetTable.create();
    private readonly index: GateIndex;
    private readonly loads = new Map<string, { readonly load: GateLoadReport; readonly atMs: number }>();
    private readonly offeredSince = new Map<string, number>();
    private readonly coldUntilMs = new Map<string, number>();
    private readonly tunnels = new Map<string, TunnelClient>();

    /** Connections to gates that take no new work, until what is under way has ended. */
    private readonly retired = new Set<TunnelClient>();
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly setup: FleetViewSetup, private readonly events: EventLog) {
        this.index = GateIndex.create(setup.vm, setup.failureDomain);
    }

    /**
     * Creates a view in which only the gate of the own process can be reached.
     *
     * @param setup - Own VM, its gate and the fleet's token.
     * @param events - Log.
     */
    static create(setup: FleetViewSetup, events: EventLog): FleetView {
        return new FleetView(setup, events);
    }

    /** Number of gates that serve a service. */
    countGates(service: string): number {
        return this.index.count(service);
    }

    /** Number of gates known. */
    get gateCount(): number {
        return this.table.size;
    }

    /** Looks up the record of a VM. */
    find(vm: string): GateRecord | undefined {
        return this.table.find(vm);
    }

    /** Takes news of other proxies' gates. */
    take(records: readonly GateRecord[]): void {
        this.table.merge(records).forEach((record) => this.note(record));
    }

    /** Takes packed loads of gates. */
    takeLoads(packed: Uint8Array): void {
        unpackLoads(packed, (gate) => this.table.vmOf(gate)).forEach((load) => this.takeLoad(load));
    }

    /** Takes the load that a gate has reported. */
    takeLoad(load: GateLoadReport): void {
        this.loads.set(load.vm, { load, atMs: nowMs() });
        this.offeredSince.delete(load.vm);
    }

    /** Orders the gates of a service by where a request is likely to be answered first. */
    rank(service: string, requestKind: RequestKind, bodyBytes: number, refused: ReadonlySet<string>): readonly PlacementCandidate[] {
        const gates = chooseSubset(this.index.serving(service), (record) => this.hasRoom(record, refused));
        const candidates = gates.map((record) => this.candidate(record, refused));
        return rankGates(candidates, requestKind, this.setup.failureDomain, bodyBytes, Math.random);
    }

    /** Mean time that a request occupies a slot of a service, over its gates. */
    serviceMs(service: string): number {
        const times = this.index.serving(service).slice(0, SAMPLED_GATES).flatMap(({ vm }) => this.loads.get(vm)?.load.serviceMs ?? []);
        return times.length === 0 ? UNKNOWN_SERVICE_MS : times.reduce((sum, time) => sum + time, 0) / times.length;
    }

    /** The gate of a VM. */
    port(vm: string): WorkPort | undefined {
        if (vm === this.setup.vm) {
            return this.setup.ownGate;
        }
        const record = this.table.find(vm);
        return record === undefined ? undefined : this.tunnel(record);
    }

    /** Counts a request that is offered to a gate. */
    countOffer(vm: string): void {
        this.offeredSince.set(vm, (this.offeredSince.get(vm) ?? 0) + 1);
        this.armTick();
    }

    /** Closes all connections. */
    close(): void {
        clearTimeout(this.timer);
        this.tunnels.forEach((tunnel) => tunnel.close());
        this.retired.forEach((tunnel) => tunnel.close());
        this.tunnels.clear();
    }

    private armTick(): void {
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            [...this.retired].filter((tunnel) => !tunnel.isWaiting).forEach((tunnel) => {
                tunnel.close();
                this.retired.delete(tunnel);
            });
            const tunnels = [...this.tunnels.values(), ...this.retired];
            tunnels.forEach((tunnel) => tunnel.tick());
            if (tunnels.some((tunnel) => tunnel.isWaiting)) {
                this.armTick();
            }
        }, alignedDelayMs(nowMs(), TICK_MS));
    }

    private note(record: GateRecord): void {
        const { endpoint, vm, isOpen } = record;
        this.index.put(record);
        if (endpoint !== undefined) {
            this.coldUntilMs.set(vm, nowMs() + endpoint.coldRemainingMs);
        }
        const tunnel = this.tunnels.get(vm);
        tunnel?.retrySoon();
        if (!isOpen && tunnel !== undefined) {
            this.tunnels.delete(vm);
            this.retired.add(tunnel);
            this.armTick();
        }
    }

    private hasRoom({ vm }: GateRecord, refused: ReadonlySet<string>): boolean {
        if (refused.has(vm) || this.tunnels.get(vm)?.isReachable === false) {
            return false;
        }
        const load = this.freshLoad(vm);
        return load === undefined
            || (load.grade === Grade.Trusted && load.running + load.queued + (this.offeredSince.get(vm) ?? 0) < load.slots);
    }

    private candidate(record: GateRecord, refused: ReadonlySet<string>): PlacementCandidate {
        const { vm } = record;
        return {
            record,
            load: this.freshLoad(vm),
            offersSinceReport: this.offeredSince.get(vm) ?? 0,
            isReachable: this.tunnels.get(vm)?.isReachable ?? true,
            isCold: nowMs() < (this.coldUntilMs.get(vm) ?? 0),
            hasRefused: refused.has(vm),
        };
    }

    private freshLoad(vm: string): GateLoadReport | undefined {
        const known = this.loads.get(vm);
        return known !== undefined && nowMs() - known.atMs < LOAD_VALID_MS ? known.load : undefined;
    }

    private tunnel(record: GateRecord): TunnelClient {
        const { vm, gateAddress } = record;
        const known = this.tunnels.get(vm);
        if (known !== undefined) {
            return known;
        }
        const created = TunnelClient.create(gateAddress, this.setup.token, (isReachable, problem) => {
            this.events.record(isReachable ? EventNumber.PathRegained : EventNumber.PathLost, { peer: vm, problem });
        });
        this.tunnels.set(vm, created);
        return created;
    }
}
