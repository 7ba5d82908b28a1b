import { randomBytes } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { setAlignedInterval } from "../../clock/setAlignedInterval/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointTracker } from "../../decisions/fleet/EndpointTracker/index.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { packLoads } from "../../decisions/fleet/packLoads/index.js";
import { UpdateSources } from "../../decisions/fleet/UpdateSources/index.js";
import { ItemStore } from "../../decisions/items/ItemStore/index.js";
import { RouteTable } from "../../decisions/items/RouteTable/index.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { CallerDesk } from "../../entrance/CallerDesk/index.js";
import { CallerServer } from "../../entrance/CallerServer/index.js";
import { FleetView } from "../../entrance/FleetView/index.js";
import { deriveToken } from "../../http/deriveToken/index.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { Role } from "../../model/Role.js";
import { ServingGate } from "../../serving/ServingGate/index.js";
import { TunnelServer } from "../../tunnel/TunnelServer/index.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { MeshDialect } from "../MeshDialect.js";
import { LoadReporter } from "../LoadReporter/index.js";
import { MeshLinks } from "../MeshLinks/index.js";
import { MeshSettings } from "../MeshSettings.js";

/** Time without a word after which another control VM is subscribed to, in ms: two heartbeats and a round trip. */
const QUIET_MS = 2_200;
/** Time between two reviews of the control VMs that news are taken from, in ms. */
const SUBSCRIBE_MS = 200;
/** Time after the request to stop until which new connections are taken, in ms; callers have turned away by then. */
const LISTEN_ON_MS = 2_500;
/** Time before the end of the grace at which the process ends in any case, in ms. */
const END_MARGIN_MS = 900;
const STOP_POLL_MS = 50;
/** Time for which connections stay open behind the last answers, so that these arrive, in ms. */
const SETTLE_MS = 150;
const RUN_BYTES = 6;

/** A proxy beside an endpoint: entry for the callers on its VM, and gate of the endpoint. */
export class SidecarRole {
    private readonly gateRun = randomBytes(RUN_BYTES).toString("hex");
    private readonly life = EndpointTracker.create();
    private readonly book = ItemStore.create();
    private readonly sources: UpdateSources;
    private readonly loads: LoadReporter;
    private readonly stops: (() => void)[] = [];
    private record: GateRecord;
    private hasItems = false;
    private hasFleet = false;
    private isOpen = true;
    private loadsFrom: string | undefined;
    private links: MeshLinks | undefined;
    private tunnels: TunnelServer | undefined;
    private callers: CallerServer | undefined;

    private constructor(
        private settings: MeshSettings,
        private readonly events: EventLog,
        private readonly gate: ServingGate,
        private readonly view: FleetView,
        private readonly desk: CallerDesk,
        private readonly owner: { role?: SidecarRole },
    ) {
        const { vm, links } = settings;
        this.owner.role = this;
        this.sources = UpdateSources.create(vm.failureDomain, Math.random);
        this.loads = LoadReporter.create(() => gate.load, (load) => this.sendLoad(load), () => view.gateCount);
        this.record = {
            vm: vm.name,
            failureDomain: vm.failureDomain,
            gateAddress: `${vm.ip}:${links.firstPort + 1}`,
            run: Date.now(),
            sequence: 1,
            isOpen: true,
            endpoint: undefined,
        };
    }

    /**
     * Starts a proxy.
     *
     * @param settings - Settings with a proxy table.
     * @param dialect - How callers and backend servers are spoken to.
     * @param events - Log.
     * @throws FleetError if a port is in use.
     */
    static async create(settings: MeshSettings, dialect: MeshDialect, events: EventLog): Promise<SidecarRole> {
        const { vm, links, terms, proxy } = settings;
        const owner: { role?: SidecarRole } = {};
        const token = deriveToken(links.fleetKey);
        const gate = ServingGate.create({
            vm: vm.name,
            backendAddress: proxy?.backendAddress ?? "",
            dialect,
            events,
            retryTerms: { windowMs: terms.retryWindow, ratio: terms.retryRatio, slack: terms.retrySlack },
            countGates: () => owner.role?.countGates() ?? 1,
            hasFailedCallSince: (sinceMs) => (owner.role?.desk.lastFailedAtMs ?? Number.NEGATIVE_INFINITY) >= sinceMs,
            onLoad: (isUrgent) => owner.role?.noteLoad(isUrgent),
        });
        const view = FleetView.create({ vm: vm.name, failureDomain: vm.failureDomain, ownGate: gate, token }, events);
        const desk = CallerDesk.create({
            entryRun: `${vm.name}-${randomBytes(RUN_BYTES).toString("hex")}`,
            dialect,
            callOfRepeatShare: () => gate.repeatShare,
            onStrike: (fingerprint, loss) => owner.role?.tellControl({ kind: MessageKind.Strike, fingerprint, loss }),
            onAcquittal: (fingerprint) => owner.role?.tellControl({ kind: MessageKind.StrikesCleared, fingerprint }),
            callerService: () => owner.role?.callerService ?? "",
        }, view, events);
        const role = new SidecarRole(settings, events, gate, view, desk, owner);
        await role.start(token, dialect);
        return role;
    }

    /** True while callers should send their requests here. */
    get isReady(): boolean {
        return this.isOpen && this.hasItems && this.hasFleet;
    }

    /** What this process believes, in figures. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "callers", help: "Requests of callers that have no answer yet", read: () => this.desk.openCount },
            { name: "running", help: "Requests that the endpoint runs", read: () => this.gate.load.running },
            { name: "queued", help: "Requests that wait for the endpoint", read: () => this.gate.load.queued },
            { name: "grade", help: "Trust in the endpoint: 0 trusted, 1 doubted, 2 ejected", read: () => this.gate.load.grade },
            { name: "backend_connections_opened", help: "Connections opened to the endpoint", read: () => this.gate.openedConnections },
            { name: "links", help: "Control VMs that are linked", read: () => this.links?.linkedVms.size ?? 0 },
            { name: "news_sources", help: "Control VMs that news are taken from", read: () => this.sources.count },
            { name: "items", help: "Configuration items in force", read: () => this.book.size },
            { name: "ready", help: "1 if callers should send their requests here", read: () => Number(this.isReady) },
        ];
    }

    /** Service that runs on this VM. */
    get callerService(): string {
        return this.life.report?.service ?? this.settings.proxy?.service ?? "";
    }

    private countGates(): number {
        return this.view.countGates(this.callerService);
    }

    /** Takes new settings. */
    reload(settings: MeshSettings): void {
        this.settings = settings;
        this.links?.setSeeds(settings);
    }

    /** Takes what the endpoint says of itself. */
    report(report: EndpointReport): void {
        if (this.life.applyReport(report, nowMs())) {
            this.endpointChanged();
        }
    }

    /** Takes the last word of an endpoint that leaves. */
    leave(id: string): void {
        if (this.life.applyDeparture(id, nowMs(), Date.now())) {
            this.endpointChanged();
        }
    }

    /** Stops within the grace: callers are served to the end, and nothing new is taken when they have turned away. */
    async stop(): Promise<void> {
        const startedAtMs = nowMs();
        const endAtMs = startedAtMs + this.settings.terms.grace - END_MARGIN_MS;
        this.events.record(EventNumber.DaemonStopping, { callers: this.desk.openCount, work: this.gate.workCount });
        this.isOpen = false;
        this.gate.stop();
        this.publish({ isOpen: false });
        this.desk.startStopping(endAtMs);
        this.callers?.startStopping();
        await delay(LISTEN_ON_MS);
        this.desk.refuseAll();
        this.callers?.stopListening();
        while (nowMs() < endAtMs && this.hasWork) {
            await delay(STOP_POLL_MS);
        }
        this.events.record(EventNumber.DaemonStopped, { callers: this.desk.openCount, work: this.gate.workCount });
        this.desk.concludeAll();
        await delay(SETTLE_MS);
        this.close();
    }

    /** True while callers wait for answers, also for those to requests that are still being read, or the endpoint works. */
    private get hasWork(): boolean {
        return (this.callers?.openCount ?? 0) > 0 || this.desk.openCount > 0 || this.gate.workCount > 0;
    }

    private async start(token: string, dialect: MeshDialect): Promise<void> {
        const { vm, links, proxy } = this.settings;
        this.view.take([this.record]);
        this.tunnels = await TunnelServer.create({ host: vm.ip, port: links.firstPort + 1, token, gateRun: this.gateRun, gate: this.gate });
        this.callers = await CallerServer.create(proxy?.callerAddress ?? "", dialect, (exchange) => this.desk.serve(exchange), (error) => {
            this.events.record(EventNumber.UnexpectedError, { problem: error.message, stack: error.stack, isLast: false });
        });
        this.links = await MeshLinks.create(this.settings, Role.Proxy, {
            onOpen: (link) => this.linkOpened(link),
            onMessage: (_link, message) => this.receive(message),
            onCall: () => Promise.resolve(undefined),
            onClose: (link) => this.linkClosed(link),
        }, () => undefined, () => 0, this.events);
        this.stops.push(setAlignedInterval(SUBSCRIBE_MS, () => this.keepSubscriptions()));
    }

    private close(): void {
        this.stops.forEach((stop) => stop());
        this.loads.close();
        this.callers?.close();
        this.tunnels?.close();
        this.view.close();
        this.gate.close();
        this.links?.close();
    }

    private linkOpened(link: PeerLink): void {
        link.send({ kind: MessageKind.FleetUpdate, records: [this.record], loads: packLoads([this.gate.load]) });
        this.keepSubscriptions();
    }

    private linkClosed(link: PeerLink): void {
        if (this.sources.removeSource(link.peer.vm)) {
            this.events.record(EventNumber.ControlLost, { peer: link.peer.vm, left: this.sources.count });
        }
        this.keepSubscriptions();
    }

    private receive(message: Message): void {
        switch (message.kind) {
            case MessageKind.FleetUpdate:
                this.view.take(message.records.filter((record) => record.vm !== this.record.vm));
                this.view.takeLoads(message.loads);
                message.records.filter((record) => record.vm === this.record.vm).forEach((record) => this.meetFormerRun(record));
                this.hasFleet = true;
                return;
            case MessageKind.Strike:
                this.desk.takeStrike(message.fingerprint, message.loss);
                return;
            case MessageKind.StrikesCleared:
                this.desk.takeAcquittal(message.fingerprint);
                return;
            case MessageKind.ItemUpdate:
                this.sources.advancePosition(message.position);
                this.takeItems(message.items, message.isComplete);
                return;
            default:
        }
    }

    /** What an earlier run of this proxy has published: its drains bind, and the own record has to be newer. */
    private meetFormerRun(record: GateRecord): void {
        if (record.run === this.record.run) {
            return;
        }
        if (record.endpoint !== undefined && this.life.restore(record.endpoint)) {
            this.events.record(EventNumber.RetainedPhaseRestored, { endpoint: record.endpoint.id, phase: record.endpoint.phase });
            this.endpointChanged();
        }
        if (record.run > this.record.run) {
            this.record = { ...this.record, run: record.run + 1 };
            this.publish({});
        }
    }

    private takeItems(items: readonly VersionedItem[], isComplete: boolean): void {
        const news = this.book.merge(items);
        if (isComplete && !this.hasItems) {
            this.hasItems = true;
        }
        else if (news.length === 0) {
            return;
        }
        if (this.hasItems) {
            const table = RouteTable.create(this.book.all);
            this.desk.setTable(table);
            this.callers?.setLimits(table.limits);
            this.events.record(EventNumber.ItemsInForce, { news: news.length, items: this.book.size });
        }
    }

    private endpointChanged(): void {
        const { report } = this.life;
        if (report !== undefined) {
            this.gate.setEndpoint(report);
            this.events.record(EventNumber.EndpointReported, {
                endpoint: report.id,
                service: report.service,
                phase: report.phase,
                sequence: report.sequence,
                bornAtMs: report.bornAtMs,
            });
            this.publish({ endpoint: report });
        }
    }

    private publish(change: Partial<GateRecord>): void {
        this.record = { ...this.record, ...change, sequence: this.record.sequence + 1 };
        this.view.take([this.record]);
        this.tellControl({ kind: MessageKind.FleetUpdate, records: [this.record], loads: packLoads([this.gate.load]) });
    }

    private noteLoad(isUrgent: boolean): void {
        this.view.takeLoad(this.gate.load);
        this.loads.note(isUrgent);
    }

    private sendLoad(load: GateLoadReport): void {
        this.view.takeLoad(load);
        if (this.loadsFrom !== undefined) {
            this.links?.sendTo(this.loadsFrom, { kind: MessageKind.FleetUpdate, records: [], loads: packLoads([load]) });
        }
    }

    private tellControl(message: Message): void {
        this.links?.linkedVms.forEach((vm) => this.links?.sendTo(vm, message));
    }

    private keepSubscriptions(): void {
        const { links } = this;
        if (links === undefined) {
            return;
        }
        const lively = [...links.linkedVms].filter((vm) => nowMs() - links.lastHeardMs(vm) < QUIET_MS);
        const hubs = lively.map((vm) => ({ vm, failureDomain: links.failureDomainOf(vm) ?? "", position: links.positionOf(vm) }));
        const { toSubscribe, toUnsubscribe, loadSource } = this.sources.selectSources(hubs, nowMs());
        toUnsubscribe.forEach((vm) => links.sendTo(vm, { kind: MessageKind.Subscribe, wants: false, wantsLoads: false }));
        toSubscribe.forEach((vm) => {
            links.sendTo(vm, { kind: MessageKind.Subscribe, wants: true, wantsLoads: vm === loadSource });
            this.events.record(EventNumber.ControlRegained, { peer: vm, subscribed: this.sources.count });
        });
        if (loadSource !== this.loadsFrom) {
            this.loadsFrom = loadSource;
            if (loadSource !== undefined && !toSubscribe.includes(loadSource)) {
                links.sendTo(loadSource, { kind: MessageKind.Subscribe, wants: true, wantsLoads: true });
            }
        }
    }
}
