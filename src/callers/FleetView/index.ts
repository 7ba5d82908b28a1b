import { alignedDelayMs } from "../../clock/alignedDelayMs/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointStatement } from "../../backend/EndpointStatement.js";
import { EndpointNotices } from "../../decisions/fleet/EndpointNotices/index.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { FleetTable } from "../../decisions/fleet/FleetTable/index.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { unpackLoads } from "../../decisions/fleet/unpackLoads/index.js";
import { chooseSubset } from "../../decisions/placement/chooseSubset/index.js";
import { GateIndex } from "../../decisions/placement/GateIndex/index.js";
import { hasFreeSlot } from "../../decisions/placement/hasFreeSlot/index.js";
import { PlacementCandidate } from "../../decisions/placement/PlacementCandidate.js";
import { PlacementRequest } from "../../decisions/placement/PlacementRequest.js";
import { ResponseSizes } from "../../decisions/placement/ResponseSizes/index.js";
import { RouteTimes } from "../../decisions/placement/RouteTimes/index.js";
import { rankGates } from "../../decisions/placement/rankGates/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { GatePort } from "../../tunnel/GatePort.js";
import { GateTunnel } from "../../tunnel/GateTunnel.js";
import { Invitation } from "../../tunnel/Invitation.js";
import { ProxyMessage } from "../../tunnel/ProxyMessage.js";
import { FleetViewOptions } from "../FleetViewOptions.js";

/** Interval at which tunnels are checked for timeouts while any is waiting, in ms. */
const TICK_INTERVAL_MS = 100;
/** Maximum age of a load report, in ms; gates report at least once a second. */
const MAX_LOAD_AGE_MS = 3_000;
/** Time for which a gate's invitation holds, in ms; then other entries have been invited. */
const INVITATION_VALIDITY_MS = 220;
/** Number of gates of a service to which tunnels are opened ahead of need. */
const MAX_TUNNELS_AHEAD = 12;
/** Number of tunnels that are opened ahead of need with each request. */
const TUNNELS_OPENED_PER_REQUEST = 2;
/** Service time that is assumed until a gate has reported one, in ms. */
const DEFAULT_SERVICE_MS = 300;
/** Maximum number of gates of a service whose service times are averaged. */
const MAX_SAMPLED_GATES = 24;

/**
 * State of the gates of the fleet as known to an entry, and the tunnels to them. Ranks the gates of a service for each
 * request, by their load, grade, reachability and failure domain.
 */
export class FleetView {
    private readonly table = FleetTable.create();
    private readonly index: GateIndex;
    private readonly loads = new Map<string, { readonly load: GateLoadReport; readonly atMs: number }>();
    private readonly offersSinceLoad = new Map<string, number>();
    /** Invitations of gates: when they came, and for how long the endpoint had waited by then. */
    private readonly invitations = new Map<string, { readonly atMs: number; readonly waitedMs: number }>();
    /** Usual sizes of responses, by route. */
    readonly responseSizes = ResponseSizes.create();
    /** Service times of routes in proportion to those of their endpoints. */
    readonly routeTimes = RouteTimes.create();
    private readonly notices = EndpointNotices.create();
    private readonly coldUntilMs = new Map<string, number>();
    private readonly tunnels = new Map<string, GateTunnel>();
    /** Addresses to which the tunnels lead, by VM. */
    private readonly tunnelAddresses = new Map<string, string>();

    /** Tunnels to closed gates, kept until their outstanding offers have ended. */
    private readonly retiredTunnels = new Set<GateTunnel>();
    private sentToOtherDomains = 0;
    private tickTimer: NodeJS.Timeout | undefined;

    private constructor(private readonly options: FleetViewOptions, private readonly events: EventLog) {
        this.index = GateIndex.create(options.vm, options.failureDomain);
    }

    /**
     * Creates a view that contains no gates.
     *
     * @param options - Settings and dependencies.
     * @param events - Event log.
     */
    static create(options: FleetViewOptions, events: EventLog): FleetView {
        return new FleetView(options, events);
    }

    /** Returns the number of gates that serve a service. */
    countGates(service: string): number {
        return this.index.count(service);
    }

    /** Number of known gates. */
    get gateCount(): number {
        return this.table.size;
    }

    /** Bytes that this entry has sent to gates in other failure domains. */
    get bytesSentToOtherDomains(): number {
        return this.sentToOtherDomains;
    }

    /** Returns the gate record of a VM. */
    find(vm: string): GateRecord | undefined {
        return this.table.find(vm);
    }

    /** Merges gate records and applies those that are newer than the known ones. */
    mergeRecords(records: readonly unknown[]): void {
        this.table.merge(records).forEach((record) => this.applyRecord(record));
    }

    /** Applies load reports in packed form. */
    applyPackedLoads(packed: Uint8Array): void {
        unpackLoads(packed, (hash) => this.table.vmOf(hash)).forEach((load) => this.applyLoad(load));
    }

    /** Applies a load report. */
    applyLoad(load: GateLoadReport): void {
        this.loads.set(load.vm, { load, atMs: nowMs() });
        this.offersSinceLoad.delete(load.vm);
    }

    /** Applies an invitation, by which the next suitable request is sent to that gate, or its withdrawal. */
    applyInvitation({ load, waitedMs }: Invitation): void {
        this.applyLoad(load);
        if (waitedMs === undefined) {
            this.invitations.delete(load.vm);
        }
        else {
            this.invitations.set(load.vm, { atMs: nowMs(), waitedMs });
        }
    }

    /**
     * Records what an endpoint states about itself in a response to this entry.
     *
     * @param endpoint - Endpoint that the request was offered to.
     * @param statement - What it states.
     * @param sentAtMs - Time of the offer.
     */
    recordStatement(endpoint: EndpointReport, statement: EndpointStatement, sentAtMs: number): void {
        this.notices.record(endpoint, statement, sentAtMs);
    }

    /** Requests per second that the endpoint of a VM accepts, as far as it has told this entry. */
    limitOf(vm: string): number | undefined {
        const endpoint = this.table.find(vm)?.endpoint;
        return endpoint === undefined ? undefined : this.notices.limitOf(endpoint);
    }

    /** Ranks the gates of a service by how soon a request is expected to be answered there. */
    rankCandidates(service: string, request: PlacementRequest, refused: ReadonlySet<string>): readonly PlacementCandidate[] {
        const gates = chooseSubset(this.servingGates(service), (record) => this.hasFreeSlot(record, refused));
        this.openTunnels(gates);
        const invited = this.invitedGates(service).filter((record) => !gates.includes(record));
        const candidates = [...gates, ...invited].map((record) => this.createCandidate(record, refused));
        return rankGates(candidates, request, this.options.failureDomain, Math.random);
    }

    /** Returns the mean time that a request of a route occupies a slot of a service, in ms. */
    routeServiceMs(service: string, route: string): number {
        return this.routeTimes.ratioOf(route) * this.meanServiceMs(service);
    }

    /** Returns the gate of a VM: the local one, or a tunnel to it. */
    gateOf(vm: string): GatePort | undefined {
        if (vm === this.options.vm) {
            return this.options.localGate;
        }
        const record = this.table.find(vm);
        return record === undefined ? undefined : this.getOrCreateTunnel(record);
    }

    /** Returns the age of the latest load report of a gate, in ms, or undefined if there is none. */
    loadAgeMs(vm: string): number | undefined {
        const latest = this.loads.get(vm);
        return latest === undefined ? undefined : Math.round(nowMs() - latest.atMs);
    }

    /** VMs of the other proxies that this entry has a tunnel to. */
    get tunnelledVms(): readonly string[] {
        return [...this.tunnels].filter(([, { isReachable }]) => isReachable).map(([vm]) => vm);
    }

    /** Sends a message that concerns no request to another proxy; returns false if it cannot be reached. */
    sendMessage(vm: string, message: ProxyMessage): boolean {
        const record = this.table.find(vm);
        if (record === undefined || !record.isOpen || vm === this.options.vm) {
            return false;
        }
        const isSent = this.getOrCreateTunnel(record).sendMessage(message);
        this.scheduleTick();
        return isSent;
    }

    /** Counts an offer to a gate, so that its load is estimated correctly until its next report. */
    recordOffer(vm: string): void {
        this.offersSinceLoad.set(vm, (this.offersSinceLoad.get(vm) ?? 0) + 1);
        this.invitations.delete(vm);
        this.scheduleTick();
    }

    /** Closes all tunnels. */
    close(): void {
        clearTimeout(this.tickTimer);
        this.tunnels.forEach((tunnel) => tunnel.close());
        this.retiredTunnels.forEach((tunnel) => tunnel.close());
        this.tunnels.clear();
    }

    /** Returns the mean time that a request of a service occupies a slot, in ms. */
    meanServiceMs(service: string): number {
        const times = this.index.serving(service).slice(0, MAX_SAMPLED_GATES).flatMap(({ vm }) => this.loads.get(vm)?.load.serviceMs ?? []);
        return times.length === 0 ? DEFAULT_SERVICE_MS : times.reduce((sum, time) => sum + time, 0) / times.length;
    }

    /** Opens tunnels to gates that have none yet: a few at a time, as each costs a handshake. */
    private openTunnels(gates: readonly GateRecord[]): void {
        const isUnopened = ({ vm }: GateRecord): boolean => vm !== this.options.vm && !this.tunnels.has(vm);
        const unopened = gates.slice(0, MAX_TUNNELS_AHEAD).filter(isUnopened);
        unopened.slice(0, TUNNELS_OPENED_PER_REQUEST).forEach((record) => this.getOrCreateTunnel(record).open());
        if (unopened.length > 0) {
            this.scheduleTick();
        }
    }

    private scheduleTick(): void {
        this.tickTimer ??= setTimeout(() => {
            this.tickTimer = undefined;
            [...this.retiredTunnels].filter((tunnel) => !tunnel.isWaiting).forEach((tunnel) => {
                tunnel.close();
                this.retiredTunnels.delete(tunnel);
            });
            const tunnels = [...this.tunnels.values(), ...this.retiredTunnels];
            tunnels.forEach((tunnel) => tunnel.tick());
            if (tunnels.some((tunnel) => tunnel.isWaiting)) {
                this.scheduleTick();
            }
        }, alignedDelayMs(nowMs(), TICK_INTERVAL_MS));
    }

    private applyRecord(record: GateRecord): void {
        const { endpoint, vm, isOpen, gateAddress } = record;
        this.index.put(record);
        if (endpoint !== undefined) {
            this.coldUntilMs.set(vm, nowMs() + endpoint.coldRemainingMs);
        }
        const tunnel = this.tunnels.get(vm);
        tunnel?.resetBackoff();
        const isMoved = this.tunnelAddresses.get(vm) !== gateAddress;
        if (tunnel !== undefined && (!isOpen || isMoved)) {
            this.tunnels.delete(vm);
            this.retiredTunnels.add(tunnel);
            tunnel.retire();
            this.scheduleTick();
        }
    }

    private hasFreeSlot({ vm }: GateRecord, refused: ReadonlySet<string>): boolean {
        if (refused.has(vm) || this.tunnels.get(vm)?.isReachable === false) {
            return false;
        }
        const load = this.currentLoad(vm);
        return load === undefined
            || (load.grade === Grade.Trusted && hasFreeSlot(load, this.offersSinceLoad.get(vm) ?? 0));
    }

    private createCandidate(record: GateRecord, refused: ReadonlySet<string>): PlacementCandidate {
        const { vm } = record;
        return {
            record,
            load: this.currentLoad(vm),
            offersSinceReport: this.offersSinceLoad.get(vm) ?? 0,
            isReachable: this.tunnels.get(vm)?.isReachable ?? true,
            isCold: nowMs() < (this.coldUntilMs.get(vm) ?? 0),
            waitingMs: this.waitingMs(vm),
            hasRefused: refused.has(vm),
        };
    }

    /** Time for which the endpoint of a gate has waited for a request, or undefined if the gate has not asked for one lately. */
    private waitingMs(vm: string): number | undefined {
        const invitation = this.invitations.get(vm);
        const ageMs = invitation === undefined ? Number.POSITIVE_INFINITY : nowMs() - invitation.atMs;
        return invitation !== undefined && ageMs < INVITATION_VALIDITY_MS ? invitation.waitedMs + ageMs : undefined;
    }

    /** Gates of a service that ask for a request; drops expired invitations. */
    private invitedGates(service: string): readonly GateRecord[] {
        [...this.invitations.keys()].filter((vm) => this.waitingMs(vm) === undefined).forEach((vm) => this.invitations.delete(vm));
        return this.invitations.size === 0 ? [] : this.servingGates(service).filter(({ vm }) => this.invitations.has(vm));
    }

    /** Gates of a service, except those whose endpoint has told this entry that it leaves. */
    private servingGates(service: string): readonly GateRecord[] {
        const gates = this.index.serving(service);
        const isLeaving = ({ endpoint }: GateRecord): boolean => endpoint !== undefined && this.notices.isLeaving(endpoint);
        return this.notices.size > 0 && gates.some(isLeaving) ? gates.filter((record) => !isLeaving(record)) : gates;
    }

    private currentLoad(vm: string): GateLoadReport | undefined {
        const latest = this.loads.get(vm);
        const ageMs = nowMs() - (latest?.atMs ?? Number.NEGATIVE_INFINITY);
        if (latest === undefined || ageMs >= MAX_LOAD_AGE_MS) {
            return undefined;
        }
        const { load } = latest;
        return load.limitWaitMs === undefined ? load : { ...load, limitWaitMs: Math.max(0, load.limitWaitMs - ageMs) };
    }

    private getOrCreateTunnel(record: GateRecord): GateTunnel {
        const { vm, gateAddress, failureDomain } = record;
        const existing = this.tunnels.get(vm);
        if (existing !== undefined) {
            return existing;
        }
        const created = this.options.openTunnel(gateAddress, {
            onReachabilityChange: (isReachable, problem) => {
                this.events.record(isReachable ? EventNumber.PathRegained : EventNumber.PathLost, { peer: vm, problem });
                this.scheduleTick();
            },
            // A packed load does not name the VM; a gate speaks for itself only in any case.
            onInvitation: ({ load, waitedMs }) => this.applyInvitation({ load: { ...load, vm }, waitedMs }),
            onMessage: (message) => this.options.onMessage?.(vm, message),
            onSent: (lengthBytes) => {
                this.sentToOtherDomains += failureDomain === this.options.failureDomain ? 0 : lengthBytes;
            },
            hasRoom: this.options.hasRoom,
            onError: (error) => this.events.recordError(error, { peer: vm }),
        });
        this.tunnels.set(vm, created);
        this.tunnelAddresses.set(vm, gateAddress);
        return created;
    }
}
