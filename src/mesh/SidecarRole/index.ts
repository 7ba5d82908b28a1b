import { randomBytes } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { BackendPool } from "../../backend/BackendPool/index.js";
import { setAlignedInterval } from "../../clock/setAlignedInterval/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointTracker } from "../../decisions/fleet/EndpointTracker/index.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { findReportProblem } from "../../decisions/fleet/findReportProblem/index.js";
import { EndpointRun } from "../../decisions/fleet/EndpointRun.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { isSignificantLimitChange } from "../../decisions/fleet/isSignificantLimitChange/index.js";
import { isGateRecord } from "../../decisions/fleet/isGateRecord/index.js";
import { packLoads } from "../../decisions/fleet/packLoads/index.js";
import { ReportVerdict } from "../../decisions/fleet/ReportVerdict.js";
import { UpdateSources } from "../../decisions/fleet/UpdateSources/index.js";
import { digestItems } from "../../decisions/items/digestItems/index.js";
import { itemKey } from "../../decisions/items/itemKey/index.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { ItemStore } from "../../decisions/items/ItemStore/index.js";
import { RouteTable } from "../../decisions/items/RouteTable/index.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { PlacementPolicy } from "../../decisions/placement/PlacementPolicy.js";
import { LaggingControls } from "../../decisions/quotas/LaggingControls/index.js";
import { QuotaView } from "../../decisions/quotas/QuotaView.js";
import { RequestDispatcher } from "../../callers/RequestDispatcher/index.js";
import { CallerExchange } from "../../callers/CallerExchange.js";
import { CallerServer } from "../../callers/CallerServer/index.js";
import { FleetView } from "../../callers/FleetView/index.js";
import { SocketBudget } from "../../frames/SocketBudget/index.js";
import { deriveToken } from "../../http/deriveToken/index.js";
import { UnfinishedHeaders } from "../../http/UnfinishedHeaders/index.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { HoldingBudget } from "../../memory/HoldingBudget/index.js";
import { BudgetLog } from "../../logs/BudgetLog/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { copyText } from "../../model/copyText/index.js";
import { Role } from "../../model/Role.js";
import { ServingGate } from "../../serving/ServingGate/index.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { TUNNEL_LIMITS } from "../../tunnel/tunnelLimits.js";
import { TunnelClient } from "../../tunnel/TunnelClient/index.js";
import { TunnelServer } from "../../tunnel/TunnelServer/index.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { LoadReporter } from "../LoadReporter/index.js";
import { MeshDialect } from "../MeshDialect.js";
import { MeshLinks } from "../MeshLinks/index.js";
import { MeshSettings } from "../MeshSettings.js";
import { QuotaClient } from "../QuotaClient/index.js";
import { QuotaRelay } from "../QuotaRelay/index.js";
import { quotaTermsOf } from "../quotaTermsOf/index.js";

/** Time without a message after which a subscription moves to another control VM, in ms: two heartbeats and a round trip. */
const CONTROL_TIMEOUT_MS = 2_200;
/** Interval of reviews of the subscriptions, in ms. */
const SUBSCRIPTION_REVIEW_INTERVAL_MS = 200;
/** Interval at which entries are invited while the endpoint is due for a request, in ms. */
const INVITATION_INTERVAL_MS = 200;
/** Time after the request to stop for which new connections are accepted, in ms; callers use other proxies by then. */
const STOP_LISTENING_DELAY_MS = 2_500;
/** Margin before the end of the grace period at which the process stops in any case, in ms. */
const STOP_MARGIN_MS = 900;
/** Time before the process stops in any case at which its endpoint gets no further requests, in ms, so that the running ones can finish. */
const GATE_FINISH_MS = 1_600;
const STOP_POLL_INTERVAL_MS = 50;
/** Margin before the end of the grace period up to which callers may read the last responses, in ms. */
const CLOSE_MARGIN_MS = 400;
/** Interval at which what the process holds is checked, in ms; growth above the limit is checked at once. */
const HOLDING_CHECK_INTERVAL_MS = 250;
const RUN_ID_BYTES = 6;
const MAX_LOGGED_CHARACTERS = 300;

/** Role of a proxy beside an endpoint: the entry for callers on its VM, and the gate of the endpoint. */
export class SidecarRole {
    private readonly gateRun = randomBytes(RUN_ID_BYTES).toString("hex");
    private readonly endpointTracker = EndpointTracker.create();
    private readonly itemStore = ItemStore.create();
    private readonly updateSources: UpdateSources;
    private readonly laggingControls = LaggingControls.create();
    private readonly loadReporter: LoadReporter;
    private readonly quotaRelay: QuotaRelay;
    private readonly timerStops: (() => void)[] = [];
    private record: GateRecord;
    private hasItems = false;
    /** True if the configuration asks for placement by the speed of endpoints. */
    private adaptsSlots = false;
    private hasFleetRecords = false;
    private isOpen = true;
    private loadSource: string | undefined;
    private links: MeshLinks | undefined;
    private tunnelServer: TunnelServer | undefined;
    private callerServer: CallerServer | undefined;

    private constructor(
        private settings: MeshSettings,
        private readonly events: EventLog,
        private readonly gate: ServingGate,
        private readonly fleetView: FleetView,
        private readonly dispatcher: RequestDispatcher,
        private readonly quotaClient: QuotaClient,
        private readonly tunnelBudget: SocketBudget,
        private readonly holdingBudget: HoldingBudget,
        private readonly roleReference: { role?: SidecarRole },
    ) {
        const { vm, links } = settings;
        this.roleReference.role = this;
        this.quotaRelay = QuotaRelay.create({
            controls: () => this.quotaView.controls,
            relays: () => this.quotaClient.relays,
            send: (to, message) => this.links?.sendTo(to, message) ?? false,
        });
        this.updateSources = UpdateSources.create(vm.failureDomain, Math.random);
        this.loadReporter = LoadReporter.create(() => gate.load, (load) => this.sendLoad(load), () => fleetView.gateCount);
        this.record = {
            vm: vm.name,
            failureDomain: vm.failureDomain,
            gateAddress: `${vm.ip}:${links.firstPort + 1}`,
            run: Date.now(),
            sequence: 1,
            isOpen: true,
            endpoint: undefined,
            limitPerSecond: undefined,
        };
    }

    /**
     * Starts a proxy.
     *
     * @param settings - Settings with a `proxy` table.
     * @param dialect - Conventions for messages of callers and backend servers.
     * @param events - Event log.
     * @param waits - Waits for ports that are held; without it, that is an error.
     * @throws FleetError if it cannot listen on a port.
     */
    static async create(settings: MeshSettings, dialect: MeshDialect, events: EventLog, waits?: StartWaits): Promise<SidecarRole> {
        const { vm, links, terms, proxy } = settings;
        const roleReference: { role?: SidecarRole } = {};
        const token = deriveToken(links.fleetKey);
        const backendAddress = proxy?.backendAddress ?? "";
        const gate = ServingGate.create({
            vm: vm.name,
            backendAddress,
            backend: BackendPool.create(backendAddress, dialect),
            dialect,
            events,
            retryBudgetLimits: { windowMs: terms.retryWindow, ratio: terms.retryRatio, slack: terms.retrySlack },
            adaptsSlots: () => roleReference.role?.adaptsSlots ?? false,
            countGates: () => roleReference.role?.countGates(roleReference.role.callerService) ?? 1,
            hasFailedCallSince: (sinceMs) => (roleReference.role?.dispatcher.lastFailureAtMs ?? Number.NEGATIVE_INFINITY) >= sinceMs,
            onLoadChange: (isUrgent) => roleReference.role?.handleLoadChange(isUrgent),
            onLeaving: (run) => roleReference.role?.handleEndpointLeaving(run),
            onPresence: (run, isPresent) => roleReference.role?.handlePresence(run, isPresent),
            onLimitChange: (perSecond) => roleReference.role?.handleLimitChange(perSecond),
        });
        const budgetLog = BudgetLog.create(events);
        const holdingBudget = HoldingBudget.create(nowMs, (closure) => events.record(EventNumber.HoldersClosed, { ...closure }));
        const recordRefusal = budgetLog.recordRefusal.bind(budgetLog);
        const tunnelBudget = SocketBudget.create("tunnels", TUNNEL_LIMITS, recordRefusal, () => holdingBudget.recordGrowth());
        const fleetView = FleetView.create({
            vm: vm.name,
            failureDomain: vm.failureDomain,
            localGate: gate,
            onMessage: (proxy, message) => roleReference.role?.quotaClient.handleProxyMessage(proxy, message),
            hasRoom: () => !holdingBudget.isUnderPressure,
            openTunnel: (gateAddress, callbacks) => TunnelClient.create(gateAddress, token, callbacks, tunnelBudget, vm.failureDomain),
        }, events);
        const quotaClient = QuotaClient.create(
            {
                vm: vm.name,
                failureDomain: vm.failureDomain,
                terms: quotaTermsOf(settings),
                random: Math.random,
            },
            {
                view: () => roleReference.role?.quotaView ?? { controls: [], proxyCount: 1 },
                send: (to, message) => roleReference.role?.links?.sendTo(to, message) ?? false,
                proxies: () => fleetView.tunnelledVms,
                sendToProxy: (to, message) => fleetView.sendMessage(to, message),
            },
            events,
        );
        const dispatcher = RequestDispatcher.create({
            entryRun: `${vm.name}-${randomBytes(RUN_ID_BYTES).toString("hex")}`,
            dialect,
            callOfRepeatShare: () => gate.repeatShare,
            onStrike: (fingerprint, lossId) => roleReference.role?.sendToControls({ kind: MessageKind.Strike, fingerprint, loss: lossId }),
            onStrikesCleared: (fingerprint) => roleReference.role?.sendToControls({ kind: MessageKind.StrikesCleared, fingerprint }),
            callerService: () => roleReference.role?.callerService ?? "",
            quota: quotaClient,
        }, fleetView, events);
        const role = new SidecarRole(
            settings,
            events,
            gate,
            fleetView,
            dispatcher,
            quotaClient,
            tunnelBudget,
            holdingBudget,
            roleReference,
        );
        await role.start(token, dialect, waits);
        return role;
    }

    /** True while callers should send their requests here. */
    get isReady(): boolean {
        return this.isOpen && this.hasItems && this.hasFleetRecords;
    }

    /** Gauges of the state of this process. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "callers", help: "Requests of callers that have no answer yet", read: () => this.dispatcher.activeCount },
            { name: "running", help: "Requests that the endpoint runs", read: () => this.gate.load.running },
            { name: "queued", help: "Requests that wait for the endpoint", read: () => this.gate.load.queued },
            { name: "usable_slots", help: "Requests that the endpoint may run at the same time", read: () => this.gate.load.slots },
            { name: "grade", help: "Trust in the endpoint: 0 trusted, 1 doubted, 2 ejected", read: () => this.gate.load.grade },
            { name: "backend_connections_opened", help: "Connections opened to the endpoint", read: () => this.gate.openedConnections },
            { name: "endpoint_request_bytes", help: "Bytes of requests that the endpoint has not answered", read: () => this.gate.requestBytes },
            { name: "endpoint_body_bytes", help: "Bytes of request bodies for the endpoint", read: () => this.gate.bodyBytes },
            { name: "endpoint_body_budget_bytes", help: "Bytes of request bodies that the endpoint may hold", read: () => this.gate.bodyBudgetBytes },
            { name: "response_buffer_bytes", help: "Bytes of incomplete responses that are held", read: () => this.gate.responseBufferBytes },
            {
                name: "other_domain_sent_bytes",
                help: "Bytes sent to other failure domains since the start: requests, responses and messages",
                read: () => this.bytesSentToOtherDomains,
            },
            { name: "links", help: "Control VMs that are linked", read: () => this.links?.linkedVms.size ?? 0 },
            { name: "news_sources", help: "Control VMs that news are taken from", read: () => this.updateSources.count },
            { name: "tunnel_buffered_bytes", help: "Bytes that other proxies have not read", read: () => this.tunnelBudget.bufferedBytes },
            { name: "retained_reply_bytes", help: "Bytes of replies kept for lost tunnels", read: () => this.tunnelServer?.retainedReplyBytes ?? 0 },
            { name: "link_buffered_bytes", help: "Bytes that control VMs have not read", read: () => this.links?.bufferedBytes ?? 0 },
            { name: "items", help: "Configuration items in force", read: () => this.itemStore.size },
            { name: "request_body_bytes", help: "Bytes of requests of callers that are held", read: () => this.callerServer?.heldRequestBytes ?? 0 },
            { name: "pending_responses_bytes", help: "Bytes of responses not yet read", read: () => this.callerServer?.unreadResponseBytes ?? 0 },
            {
                name: "unfinished_header_bytes",
                help: "Bytes of header sections that clients of all ports have not finished",
                read: () => UnfinishedHeaders.bytesOfProcess,
            },
            { name: "tunnel_receiving_bytes", help: "Bytes of unfinished frames of other proxies", read: () => this.tunnelBudget.receivingBytes },
            { name: "offered_request_bytes", help: "Bytes of requests of other entries", read: () => this.tunnelServer?.offeredRequestBytes ?? 0 },
            { name: "held_bytes", help: "Bytes that the process holds for others in all", read: () => this.holdingBudget.heldBytes },
            { name: "held_limit_bytes", help: "Limit on the bytes that the process holds for others", read: () => this.holdingBudget.limitBytes },
            { name: "caller_connections", help: "Connections of callers", read: () => this.callerServer?.connectionCount ?? 0 },
            ...this.quotaClient.gauges,
            ...this.quotaRelay.gauges,
            { name: "ready", help: "1 if callers should send their requests here", read: () => Number(this.isReady) },
        ];
    }

    private get bytesSentToOtherDomains(): number {
        const { fleetView, tunnelServer, links } = this;
        return fleetView.bytesSentToOtherDomains + (tunnelServer?.bytesSentToOtherDomains ?? 0) + (links?.bytesSentToOtherDomains ?? 0);
    }

    /** Service that runs on this VM. */
    get callerService(): string {
        return this.endpointTracker.report?.service ?? this.settings.proxy?.service ?? "";
    }

    /** Returns the number of gates that serve a service, as known here. */
    countGates(service: string): number {
        return this.fleetView.countGates(service);
    }

    /** Applies new settings. */
    reload(settings: MeshSettings): void {
        this.settings = settings;
        this.links?.setSeeds(settings);
    }

    /** Applies a report of the endpoint, unless it names an endpoint that cannot be one of this fleet. */
    applyEndpointReport(report: EndpointReport): ReportVerdict {
        const isKnownService = this.isKnownService(report.service);
        const problem = findReportProblem(report, Date.now()) ?? (isKnownService ? undefined : `unknown service "${report.service}"`);
        if (problem !== undefined) {
            this.events.record(EventNumber.ReportRefused, { endpoint: copyText(report.id, MAX_LOGGED_CHARACTERS), problem });
            return isKnownService || this.hasItems ? ReportVerdict.Refused : ReportVerdict.Undecided;
        }
        if (this.endpointTracker.applyReport(report, nowMs(), this.links?.resumedAtMs)) {
            this.publishEndpoint();
        }
        return ReportVerdict.Accepted;
    }

    /** Handles the departure of the endpoint. */
    handleEndpointLeave(id: string): void {
        if (this.endpointTracker.applyDeparture(id, nowMs(), Date.now())) {
            this.publishEndpoint();
        }
    }

    /** Stops within the grace period. Requests in progress are served, and new ones too until callers have moved to other proxies. */
    async stop(): Promise<void> {
        const startedAtMs = nowMs();
        const stopAtMs = startedAtMs + this.settings.terms.grace - STOP_MARGIN_MS;
        this.events.record(EventNumber.DaemonStopping, { callers: this.dispatcher.activeCount, work: this.gate.offerCount });
        this.isOpen = false;
        this.gate.startStopping(stopAtMs);
        this.dispatcher.startDraining(stopAtMs);
        this.callerServer?.startDraining();
        await delay(STOP_LISTENING_DELAY_MS);
        this.dispatcher.refuseAll();
        this.callerServer?.stopListening();
        // Nothing else can reach the endpoint, so that it gets requests for as long as this process runs for its callers.
        while (nowMs() < stopAtMs - GATE_FINISH_MS && this.hasCallers) {
            await delay(STOP_POLL_INTERVAL_MS);
        }
        this.gate.stop();
        this.publishRecord({ isOpen: false });
        while (nowMs() < stopAtMs && this.hasPendingRequests) {
            await delay(STOP_POLL_INTERVAL_MS);
        }
        this.events.record(EventNumber.DaemonStopped, { callers: this.dispatcher.activeCount, work: this.gate.offerCount });
        this.dispatcher.finishAll();
        await Promise.all([this.closeCallers(startedAtMs + this.settings.terms.grace - CLOSE_MARGIN_MS), this.tunnelServer?.shutDown()]);
        this.close();
    }

    /** Closes the connections of callers, which have time to read the last responses. */
    private async closeCallers(untilMs: number): Promise<void> {
        while (nowMs() < untilMs && (this.callerServer?.connectionCount ?? 0) > 0) {
            this.callerServer?.closeIdle();
            await delay(STOP_POLL_INTERVAL_MS);
        }
    }

    /** Returns whether the settings, the configuration or the current endpoint name a service. */
    private isKnownService(service: string): boolean {
        const named = [this.settings.proxy?.service, this.endpointTracker.report?.service];
        return named.includes(service) || this.itemStore.hasContent(itemKey(ItemKind.Service, service));
    }

    /** True while callers wait for responses, including requests that are still being read. */
    private get hasCallers(): boolean {
        return (this.callerServer?.openRequestCount ?? 0) > 0 || this.dispatcher.activeCount > 0;
    }

    /** True while callers wait for responses, or the endpoint has requests. */
    private get hasPendingRequests(): boolean {
        return this.hasCallers || this.tunnelServer?.hasUnsentReplies === true || this.gate.offerCount > 0;
    }

    private async start(token: string, dialect: MeshDialect, waits: StartWaits | undefined): Promise<void> {
        const { vm, links, proxy } = this.settings;
        this.fleetView.mergeRecords([this.record]);
        const onError = (error: Error): void => this.events.recordError(error, {});
        const budgetLog = BudgetLog.create(this.events);
        const recordRefusal = budgetLog.recordRefusal.bind(budgetLog);
        this.tunnelServer = await TunnelServer.create({
            host: vm.ip,
            port: links.firstPort + 1,
            token,
            gateRun: this.gateRun,
            gate: this.gate,
            failureDomain: vm.failureDomain,
            onMessage: (message, reply) => this.quotaRelay.handleMessage(message, reply),
            budget: this.tunnelBudget,
            holdingBudget: this.holdingBudget,
            recordRefusal,
            onError,
            waits,
        });
        const dispatch = (exchange: CallerExchange): void => this.dispatcher.dispatch(exchange);
        this.addHoldings();
        const { holdingBudget } = this;
        this.callerServer = await CallerServer.create(proxy?.callerAddress ?? "", dialect, dispatch, onError, recordRefusal, waits, holdingBudget);
        this.links = await MeshLinks.create(this.settings, Role.Proxy, {
            onOpen: (link) => this.handleLinkOpen(link),
            onMessage: (link, message) => this.handleMessage(link, message),
            onCall: () => Promise.resolve(undefined),
            onClose: (link) => this.handleLinkClose(link),
            onMessageError: (error) => this.events.record(EventNumber.MessageFailed, { error: error.message }),
        }, () => undefined, () => 0, this.events, waits);
        this.timerStops.push(
            setAlignedInterval(SUBSCRIPTION_REVIEW_INTERVAL_MS, () => this.reviewSubscriptions()),
            setAlignedInterval(HOLDING_CHECK_INTERVAL_MS, () => this.holdingBudget.check()),
            setAlignedInterval(INVITATION_INTERVAL_MS, () => this.inviteEntries()),
        );
    }

    /** Adds to the budget of the process what it holds beside the requests of callers and the responses to them. */
    private addHoldings(): void {
        const { tunnelBudget, holdingBudget } = this;
        const add = (name: string, isRequests: boolean, readHeldBytes: () => number): void =>
            holdingBudget.add({ name, isRequests, readHeldBytes, findHolders: () => [] });
        add("requests of entries", true, () => this.tunnelServer?.offeredRequestBytes ?? 0);
        add("incomplete responses", false, () => this.gate.responseBufferBytes);
        add("retained replies", false, () => this.tunnelServer?.retainedReplyBytes ?? 0);
        add("unfinished frames", false, () => tunnelBudget.receivingBytes);
        add("unread messages", false, () => this.links?.bufferedBytes ?? 0);
        holdingBudget.add({
            name: "unread frames",
            isRequests: false,
            readHeldBytes: () => tunnelBudget.bufferedBytes,
            findHolders: () => tunnelBudget.unreadHolders,
        });
    }

    private close(): void {
        this.timerStops.forEach((stop) => stop());
        this.loadReporter.close();
        this.quotaClient.close();
        this.callerServer?.close();
        this.tunnelServer?.close();
        this.fleetView.close();
        this.gate.close();
        this.links?.close();
    }

    private handleLinkOpen(link: PeerLink): void {
        link.send({ kind: MessageKind.FleetUpdate, records: [this.record], loads: packLoads([this.gate.load]) });
        this.reviewSubscriptions();
    }

    private handleLinkClose(link: PeerLink): void {
        if (this.updateSources.removeSource(link.peer.vm)) {
            this.events.record(EventNumber.ControlLost, { peer: link.peer.vm, left: this.updateSources.count });
        }
        if (this.links?.linkedVms.has(link.peer.vm) !== true) {
            this.quotaClient.handleLinkClose(link.peer.vm);
        }
        this.reviewSubscriptions();
    }

    private handleMessage(link: PeerLink, message: Message): void {
        switch (message.kind) {
            case MessageKind.FleetUpdate:
                this.applyFleetUpdate(message.records, message.loads);
                return;
            case MessageKind.FormerRecord:
                this.selectRecords([message.record]).forEach((record) => this.reconcileFormerRun(record));
                return;
            case MessageKind.Strike:
                this.dispatcher.recordStrike(message.fingerprint, message.loss);
                return;
            case MessageKind.StrikesCleared:
                this.dispatcher.clearStrikes(message.fingerprint);
                return;
            case MessageKind.ItemUpdate:
                this.updateSources.advancePosition(message.position);
                this.applyItems(message.items, message.isComplete);
                return;
            case MessageKind.QuotaGrant:
                if (!this.quotaRelay.handleGrants(link.peer.vm, message.id, message.grants)) {
                    this.quotaClient.handleGrants(link.peer.vm, message.id, message.grants);
                }
                return;
            default:
        }
    }

    /** Selects the well-formed ones of received records. */
    private selectRecords(received: readonly unknown[]): readonly GateRecord[] {
        const records = received.filter(isGateRecord);
        if (records.length < received.length) {
            this.events.record(EventNumber.RecordRefused, { count: received.length - records.length });
        }
        return records;
    }

    private applyFleetUpdate(received: readonly unknown[], loads: Uint8Array): void {
        const records = this.selectRecords(received);
        this.fleetView.mergeRecords(records.filter(({ vm }) => vm !== this.record.vm));
        this.fleetView.applyPackedLoads(loads);
        records.filter(({ vm }) => vm === this.record.vm).forEach((record) => this.reconcileFormerRun(record));
        this.hasFleetRecords = true;
    }

    /**
     * Reconciles the record of an earlier run of this proxy: restores the phase and the limit of its endpoint, so that a drain
     * persists, and makes the current record newer than it.
     */
    private reconcileFormerRun(record: GateRecord): void {
        if (record.run === this.record.run) {
            return;
        }
        if (record.endpoint !== undefined && this.endpointTracker.restore(record.endpoint)) {
            this.events.record(EventNumber.RetainedPhaseRestored, { endpoint: record.endpoint.id, phase: record.endpoint.phase });
            this.publishEndpoint();
        }
        if (record.endpoint !== undefined && record.limitPerSecond !== undefined) {
            this.gate.restoreLimit(record.endpoint, record.limitPerSecond);
        }
        if (record.run > this.record.run) {
            this.record = { ...this.record, run: record.run + 1 };
            this.publishRecord({});
        }
    }

    private applyItems(items: readonly VersionedItem[], isComplete: boolean): void {
        const changed = this.itemStore.merge(items);
        if (isComplete && !this.hasItems) {
            this.hasItems = true;
        }
        else if (changed.length === 0) {
            return;
        }
        if (this.hasItems) {
            const routeTable = RouteTable.create(this.itemStore.all);
            this.dispatcher.setRouteTable(routeTable);
            this.adaptsSlots = routeTable.placementPolicy === PlacementPolicy.NearestInTime;
            this.callerServer?.setLimits(routeTable.limits);
            this.quotaClient.setItems(this.itemStore.all);
            this.events.record(EventNumber.ItemsInForce, { news: changed.length, items: this.itemStore.size });
        }
    }

    private publishEndpoint(): void {
        const { report } = this.endpointTracker;
        if (report !== undefined) {
            this.gate.setEndpoint(report);
            this.events.record(EventNumber.EndpointReported, {
                endpoint: report.id,
                service: report.service,
                phase: report.phase,
                sequence: report.sequence,
                bornAtMs: report.bornAtMs,
            });
            this.publishRecord({ endpoint: report, limitPerSecond: this.gate.limitPerSecond });
        }
    }

    private publishRecord(change: Partial<GateRecord>): void {
        this.record = { ...this.record, ...change, sequence: this.record.sequence + 1 };
        this.fleetView.mergeRecords([this.record]);
        this.sendToControls({ kind: MessageKind.FleetUpdate, records: [this.record], loads: packLoads([this.gate.load]) });
    }

    /** Handles the statement of the endpoint that it leaves, which may come long before its report. */
    private handleEndpointLeaving(run: EndpointRun): void {
        if (this.endpointTracker.applyLeaving(run)) {
            this.events.record(EventNumber.EndpointLeaving, { endpoint: run.id, service: this.callerService });
            this.publishEndpoint();
        }
    }

    /** Handles an answer that shows whether the run that a request was meant for is there. */
    private handlePresence(run: EndpointRun, isPresent: boolean): void {
        if (this.endpointTracker.applyPresence(run, isPresent, nowMs())) {
            this.events.record(EventNumber.EndpointReinstated, { refuted: run.id, endpoint: this.endpointTracker.report?.id });
            this.publishEndpoint();
        }
    }

    /** Publishes the limit of the endpoint, so that this proxy gets it back if it restarts. */
    private handleLimitChange(perSecond: number | undefined): void {
        if (isSignificantLimitChange(this.record.limitPerSecond, perSecond)) {
            this.publishRecord({ limitPerSecond: perSecond });
        }
    }

    private handleLoadChange(isUrgent: boolean): void {
        const { load, invitation } = this.gate;
        this.fleetView.applyInvitation(invitation ?? { load, waitedMs: undefined });
        if (invitation === undefined) {
            this.tunnelServer?.withdrawInvitations(load);
        }
        else if (this.tunnelServer?.hasInvited === false) {
            this.tunnelServer.invite(invitation);
        }
        this.loadReporter.handleLoadChange(isUrgent);
    }

    private sendLoad(load: GateLoadReport): void {
        this.fleetView.applyLoad(load);
        if (this.loadSource !== undefined) {
            this.links?.sendTo(this.loadSource, { kind: MessageKind.FleetUpdate, records: [], loads: packLoads([load]) });
        }
    }

    /** Asks entries for a request if the endpoint is due for one. */
    private inviteEntries(): void {
        const { invitation } = this.gate;
        if (invitation !== undefined) {
            this.fleetView.applyInvitation(invitation);
            this.tunnelServer?.invite(invitation);
        }
    }

    private sendToControls(message: Message): void {
        this.links?.linkedVms.forEach((vm) => this.links?.sendTo(vm, message));
    }

    /** Control VMs that can be asked for tokens of organisations, and the number of proxies that may ask. */
    private get quotaView(): QuotaView {
        const controls = this.liveVms.filter((vm) => !this.laggingControls.isLagging(vm, nowMs()));
        return {
            controls: controls.map((vm) => ({ vm, failureDomain: this.links?.failureDomainOf(vm) ?? "" })),
            proxyCount: Math.max(1, this.fleetView.gateCount),
        };
    }

    private get liveVms(): readonly string[] {
        const { links } = this;
        return links === undefined ? [] : [...links.linkedVms].filter((vm) => nowMs() - links.silentSinceMs(vm) < CONTROL_TIMEOUT_MS);
    }

    private createSubscription(wantsLoads: boolean): Message {
        return { kind: MessageKind.Subscribe, wants: true, wantsLoads, digests: digestItems(this.itemStore.all) };
    }

    private reviewSubscriptions(): void {
        const { links, liveVms } = this;
        if (links === undefined) {
            return;
        }
        const positions = new Map(liveVms.map((vm) => [vm, links.positionOf(vm)]));
        // Positions start again if all control VMs have lost their disks, so that earlier ones do not count.
        this.laggingControls.update(positions, Math.max(0, ...positions.values()), nowMs());
        const liveControls = liveVms.map((vm) => ({ vm, failureDomain: links.failureDomainOf(vm) ?? "", position: links.positionOf(vm) }));
        const { toSubscribe, toUnsubscribe, loadSource } = this.updateSources.selectSources(liveControls, nowMs());
        toUnsubscribe.forEach((vm) => links.sendTo(vm, { kind: MessageKind.Subscribe, wants: false, wantsLoads: false }));
        toSubscribe.forEach((vm) => {
            links.sendTo(vm, this.createSubscription(vm === loadSource));
            this.events.record(EventNumber.ControlRegained, { peer: vm, subscribed: this.updateSources.count });
        });
        if (loadSource !== this.loadSource) {
            this.loadSource = loadSource;
            if (loadSource !== undefined && !toSubscribe.includes(loadSource)) {
                links.sendTo(loadSource, this.createSubscription(true));
            }
        }
    }
}
