import { Packr } from "msgpackr";
import { EndpointStatement } from "../../../src/backend/EndpointStatement.js";
import { nowMs } from "../../../src/clock/nowMs/index.js";
import { CallerDialect } from "../../../src/callers/CallerDialect.js";
import { FleetView } from "../../../src/callers/FleetView/index.js";
import { RequestDispatcher } from "../../../src/callers/RequestDispatcher/index.js";
import { EndpointPhase } from "../../../src/decisions/fleet/EndpointPhase.js";
import { GateLoadReport } from "../../../src/decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../../src/decisions/fleet/GateRecord.js";
import { StatedLimitKind } from "../../../src/decisions/limits/StatedLimitKind.js";
import { ProbeInvitations } from "../../../src/decisions/outliers/ProbeInvitations/index.js";
import { packLoads } from "../../../src/decisions/fleet/packLoads/index.js";
import { RouteTable } from "../../../src/decisions/items/RouteTable/index.js";
import { findHeader } from "../../../src/http/findHeader/index.js";
import { packHeartbeat } from "../../../src/links/packHeartbeat/index.js";
import { Message } from "../../../src/links/Message.js";
import { MessageKind } from "../../../src/links/MessageKind.js";
import { HeaderList } from "../../../src/model/HeaderList.js";
import { RequestKind } from "../../../src/model/RequestKind.js";
import { EventLog } from "../../../src/logs/EventLog/index.js";
import { FleetUpdateRelay } from "../../../src/mesh/FleetUpdateRelay/index.js";
import { LoadReporter } from "../../../src/mesh/LoadReporter/index.js";
import { EndpointDialect } from "../../../src/serving/EndpointDialect.js";
import { ServingGate } from "../../../src/serving/ServingGate/index.js";
import { Frame } from "../../../src/tunnel/Frame.js";
import { FrameKind } from "../../../src/tunnel/FrameKind.js";
import { GateReply } from "../../../src/tunnel/GateReply.js";
import { GateReplyKind } from "../../../src/tunnel/GateReplyKind.js";
import { GateTunnel } from "../../../src/tunnel/GateTunnel.js";
import { Invitation } from "../../../src/tunnel/Invitation.js";
import { TunnelCallbacks } from "../../../src/tunnel/TunnelCallbacks.js";
import { WorkOffer } from "../../../src/tunnel/WorkOffer.js";
import { createRandom } from "../../soak/createRandom/index.js";
import { createRoutes } from "../createRoutes/index.js";
import { FleetModelOptions } from "../FleetModelOptions.js";
import { ModelBackend } from "../ModelBackend/index.js";
import { ModelHeaderName } from "../ModelHeaderName.js";
import { MODEL_HOST } from "../modelHost.js";
import { ModelService } from "../ModelService.js";
import { ModelVm } from "../ModelVm.js";

const RETRY_BUDGET = { windowMs: 10_000, ratio: 0.2, slack: 400 };
/** Status from which an answer counts as a failure. */
const MIN_FAILED_STATUS = 500;
/** Interval at which gates invite entries, in ms. */
const INVITATION_INTERVAL_MS = 200;
const MS_PER_S = 1_000;
/** Period with which the demand of the failure domains swings, in ms. */
const SWING_PERIOD_MS = 13_000;
/** Ratio of the largest request body to the mean. */
const MAX_BODY_FACTOR = 6;
/** Header of a WebSocket frame, in bytes. */
const FRAME_HEADER_BYTES = 4;
const framePackr = new Packr({ useRecords: false });
const linkPackr = new Packr({ useRecords: true });

const ENDPOINT_DIALECT: EndpointDialect = {
    requestHeaders: ({ key }) => [[ModelHeaderName.Entry, key.split("/")[0] ?? ""]],
    readRequestId: () => undefined,
    isNotRun: () => false,
    readStatement,
    isSigned: () => true,
    isKnownResponseHeader: () => true,
};

const CALLER_DIALECT: CallerDialect = {
    readMetadata: () => ({ requestId: "", apiKey: undefined, patienceMs: undefined }),
    forwardedHeaders: (headers) => headers,
    identifiedHeaders: (headers) => headers,
    ownResponseHeaders: () => [],
    isGenuine: () => true,
    readStatement,
};

/**
 * Fleet in one process and without a network: the real entries, gates, load reports and control VMs' relays, with messages
 * that arrive after a fixed time. Runs on a faked clock; see `advance`.
 */
export class FleetModel {
    private readonly random: () => number;
    private readonly arrivalRandom: () => number;
    private readonly vms = new Map<string, ModelVm>();
    private readonly controls: FleetUpdateRelay[] = [];
    private readonly nextArrivalAtMs = new Map<ModelService, number>();
    private heartbeatTimer: NodeJS.Timeout | undefined;
    private invitationTimer: NodeJS.Timeout | undefined;
    /** Bytes of messages between different failure domains, by kind. */
    readonly crossBytes = new Map<string, number>();
    /** Number of offers to gates in another failure domain than the entry's, by service. */
    readonly crossOffers = new Map<string, number>();
    private readonly latenciesMs = new Map<string, number[]>();
    private readonly timely = new Map<string, number>();
    private readonly bodies = new Map<ModelService, Buffer>();
    private requestCount = 0;
    private answeredCount = 0;
    private failureCount = 0;

    private constructor(private readonly options: FleetModelOptions) {
        this.random = createRandom(options.seed);
        this.arrivalRandom = options.arrivalSeed === undefined ? this.random : createRandom(options.arrivalSeed);
    }

    /** Creates a fleet in which every gate is known to every entry. */
    static create(options: FleetModelOptions): FleetModel {
        const model = new FleetModel(options);
        for (let number = 0; number < options.controlCount; number += 1) {
            model.controls.push(model.createControl(number));
        }
        const records = options.services.flatMap((service) => model.createVms(service));
        model.vms.forEach(({ fleetView }) => fleetView.mergeRecords(records));
        model.controls.forEach((control) => control.handleUpdate(records, packLoads([]), true));
        model.vms.forEach(({ name, control }) => control.subscribe(name, true));
        model.heartbeatTimer = setInterval(() => model.meterHeartbeats(), MS_PER_S);
        model.invitationTimer = setInterval(() => model.vms.forEach((vm) => model.inviteEntries(vm)), INVITATION_INTERVAL_MS);
        return model;
    }

    /** Number of requests so far, and of those that have failed or were refused. */
    get counts(): { readonly requests: number; readonly answered: number; readonly failures: number } {
        return { requests: this.requestCount, answered: this.answeredCount, failures: this.failureCount };
    }

    /** Times of the answers of a service that were no failures, in ms. */
    latenciesOf(service: string): readonly number[] {
        return this.latenciesMs.get(service) ?? [];
    }

    /** Number of requests of a service that were answered within their latency target without failure. */
    timelyCount(service: string): number {
        return this.timely.get(service) ?? 0;
    }

    /** Returns the backend servers of a service. */
    backendsOf(service: string): readonly ModelBackend[] {
        return [...this.vms.values()].filter((vm) => vm.service.name === service).map(({ backend }) => backend);
    }

    /** Sends the requests that arrive up to the current time. Call it after each step of the clock. */
    advance(): void {
        this.options.services.forEach((service) => {
            let atMs = this.nextArrivalAtMs.get(service) ?? nowMs();
            while (atMs <= nowMs()) {
                this.sendRequest(service);
                atMs += -Math.log(1 - this.arrivalRandom()) * MS_PER_S / service.requestsPerSecond;
            }
            this.nextArrivalAtMs.set(service, atMs);
        });
    }

    /** Restarts the gates of a service: the new ones know nothing, and what the old ones ran has no answer. */
    restartGates(service: string): void {
        [...this.vms.values()].filter((vm) => vm.service.name === service).forEach((vm) => {
            vm.gate.close();
            vm.gate = vm.createGate();
            this.publish(vm, { run: vm.record.run + 1, limitPerSecond: undefined });
            if (vm.record.endpoint !== undefined) {
                vm.gate.setEndpoint(vm.record.endpoint);
            }
        });
    }

    /** Stops all timers of the fleet. */
    close(): void {
        clearInterval(this.invitationTimer);
        clearInterval(this.heartbeatTimer);
        this.controls.forEach((control) => control.close());
        this.vms.forEach(({ gate, fleetView, loadReporter }) => {
            loadReporter.close();
            fleetView.close();
            gate.close();
        });
    }

    private createControl(number: number): FleetUpdateRelay {
        const names = Array.from({ length: this.options.controlCount }, (_, index) => `control-${index}`);
        const control: FleetUpdateRelay = FleetUpdateRelay.create({
            send: (name, message) => {
                const domain = this.vms.get(name)?.record.failureDomain ?? this.domainOfControl(names.indexOf(name));
                if (message.kind === MessageKind.FleetUpdate) {
                    const kind = `${message.records.length > 0 ? "records" : "loads"} to ${this.vms.has(name) ? "proxies" : "control"}`;
                    this.meterMessage(kind, this.domainOfControl(number), domain, message);
                }
                if (message.kind === MessageKind.FleetUpdate) {
                    this.deliver(() => {
                        this.vms.get(name)?.fleetView.mergeRecords(message.records);
                        this.vms.get(name)?.fleetView.applyPackedLoads(message.loads);
                        this.controls[names.indexOf(name)]?.handleUpdate(message.records, message.loads, false);
                    });
                }
                else if (message.kind === MessageKind.FormerRecord) {
                    this.deliver(() => this.restore(name, message.record));
                }
            },
            recordRefusal: (holder) => {
                throw new Error(`the model has too many ${holder}`);
            },
            peers: () => names.filter((_, index) => index !== number),
        });
        return control;
    }

    private domainOfControl(number: number): string {
        return `domain-${number % this.options.failureDomainCount}`;
    }

    /** Counts the heartbeats of the links, which the model does not send: one in each direction of each link. */
    private meterHeartbeats(): void {
        const position = { term: 0, version: this.requestCount, manifestVersion: 0 };
        const heartbeat = { kind: MessageKind.Heartbeat as const, sequence: this.requestCount, heard: this.requestCount, position };
        const lengthBytes = linkPackr.pack(packHeartbeat(heartbeat)).length;
        const domains = [...this.vms.values()].map(({ record }) => record.failureDomain);
        this.controls.forEach((_control, number) => domains.filter((domain) => domain !== this.domainOfControl(number)).forEach(() => {
            this.addCrossBytes("link heartbeats", lengthBytes);
            this.addCrossBytes("link heartbeats", lengthBytes);
        }));
    }

    private meterMessage(kind: string, from: string, to: string, message: Message): void {
        if (from !== to) {
            this.addCrossBytes(kind, linkPackr.pack({ message }).length);
        }
    }

    private meterFrame(kind: string, from: string, to: string, frame: Frame): void {
        if (from !== to) {
            this.addCrossBytes(kind, framePackr.pack(frame).length);
        }
    }

    private addCrossBytes(kind: string, lengthBytes: number): void {
        this.crossBytes.set(kind, (this.crossBytes.get(kind) ?? 0) + lengthBytes + FRAME_HEADER_BYTES);
    }

    private createVms(service: ModelService): readonly GateRecord[] {
        return Array.from({ length: service.endpointCount }, (_, index) => {
            const name = `${service.name}-${index}`;
            const limitPerSecond = index < (service.limit?.endpointCount ?? 0) ? service.limit?.perSecond : undefined;
            return this.createVm(name, service, index, limitPerSecond);
        });
    }

    private domainOf({ endpointsByDomain }: ModelService, index: number): number {
        const domains = endpointsByDomain?.flatMap((count, domain) => new Array<number>(count).fill(domain));
        return domains?.[index] ?? index % this.options.failureDomainCount;
    }

    private createVm(name: string, service: ModelService, index: number, limitPerSecond: number | undefined): GateRecord {
        const domain = this.domainOf(service, index);
        const failureDomain = `domain-${domain}`;
        const endpoint = {
            id: name,
            bornAtMs: 1,
            sequence: 1,
            service: service.name,
            phase: EndpointPhase.Ready,
            slots: service.slots,
            coldRemainingMs: 0,
        };
        const events = EventLog.create(name, undefined);
        const backend = ModelBackend.create(service, this.random, service.slowness?.[index % service.slowness.length]);
        backend.limitPerSecond = limitPerSecond;
        const createGate = (): ServingGate => ServingGate.create({
            vm: name,
            backendAddress: "",
            backend,
            dialect: ENDPOINT_DIALECT,
            events,
            retryBudgetLimits: RETRY_BUDGET,
            countGates: () => service.endpointCount,
            hasFailedCallSince: () => false,
            onLoadChange: (isUrgent) => {
                this.handleLoadChange(vm);
                loadReporter.handleLoadChange(isUrgent);
            },
            onLeaving: () => undefined,
            onPresence: () => undefined,
            onLimitChange: (limitPerSecond) => this.publish(vm, { sequence: vm.record.sequence + 1, limitPerSecond }),
        });
        const fleetView: FleetView = FleetView.create({
            vm: name,
            failureDomain,
            localGate: { offer: (offer, onReply) => vm.gate.offer(offer, onReply) },
            openTunnel: (gateAddress, callbacks) => this.openTunnel(gateAddress, failureDomain, callbacks),
        }, events);
        const dispatcher = RequestDispatcher.create({
            entryRun: name,
            dialect: CALLER_DIALECT,
            onStrike: () => undefined,
            onStrikesCleared: () => undefined,
            callOfRepeatShare: () => 0,
            callerService: () => service.name,
        }, fleetView, events);
        dispatcher.setRouteTable(RouteTable.create(this.options.services.flatMap(createRoutes)));
        const control = this.controls[domain % this.controls.length] ?? this.createControl(0);
        const sendLoad = (load: GateLoadReport): void => {
            fleetView.applyLoad(load);
            this.deliver(() => control.handleUpdate([], packLoads([load]), true));
        };
        const loadReporter: LoadReporter = LoadReporter.create(() => vm.gate.load, sendLoad, () => fleetView.gateCount);
        const vm: ModelVm = {
            name,
            service,
            backend,
            createGate,
            gate: createGate(),
            record: { vm: name, failureDomain, gateAddress: name, run: 1, sequence: 1, isOpen: true, endpoint, limitPerSecond: undefined },
            fleetView,
            dispatcher,
            loadReporter,
            control,
            invitations: ProbeInvitations.create(),
        };
        this.vms.set(name, vm);
        vm.gate.setEndpoint(endpoint);
        return vm.record;
    }

    private restore(name: string, { endpoint, limitPerSecond }: GateRecord): void {
        if (endpoint !== undefined && limitPerSecond !== undefined) {
            this.vms.get(name)?.gate.restoreLimit(endpoint, limitPerSecond);
        }
    }

    private publish(vm: ModelVm, change: Partial<GateRecord>): void {
        vm.record = { ...vm.record, ...change };
        const { record, control } = vm;
        this.deliver(() => control.handleUpdate([record], packLoads([]), true));
    }

    private openTunnel(gateAddress: string, entryDomain: string, callbacks: TunnelCallbacks): GateTunnel {
        const vm = this.vms.get(gateAddress);
        const gateDomain = vm?.record.failureDomain ?? "";
        const metered: TunnelCallbacks = {
            ...callbacks,
            onInvitation: (invitation) => {
                this.meterFrame("invitations", gateDomain, entryDomain, this.createInvitationFrame(invitation));
                callbacks.onInvitation(invitation);
            },
        };
        vm?.invitations.addEntry(metered, gateDomain === entryDomain);
        return {
            isReachable: true,
            isWaiting: false,
            open: () => undefined,
            sendMessage: () => false,
            tick: () => undefined,
            resetBackoff: () => undefined,
            retire: () => undefined,
            close: () => undefined,
            offer: (offer, onReply) => {
                this.meterOffer(offer, entryDomain, gateDomain);
                this.deliver(() => {
                    vm?.invitations.recordRequest(metered, offer.requestKind, nowMs());
                    vm?.gate.offer(offer, (reply) => {
                        this.meterReply(offer, reply, gateDomain, entryDomain);
                        this.deliver(() => onReply(reply));
                    });
                });
                return { cancel: () => undefined, confirm: () => undefined };
            },
        };
    }

    private createInvitationFrame({ load, waitedMs }: Invitation): Frame {
        return { kind: FrameKind.PackedInvitation, load: packLoads([load]), waitedMs: waitedMs === undefined ? undefined : Math.round(waitedMs) };
    }

    private meterOffer(offer: WorkOffer, from: string, to: string): void {
        if (from !== to) {
            this.meterFrame("offers", from, to, { kind: FrameKind.Offer, offer: { ...offer, body: Buffer.alloc(0) } });
            this.addCrossBytes("request bodies", offer.body.length);
            this.crossOffers.set(offer.service, (this.crossOffers.get(offer.service) ?? 0) + 1);
        }
    }

    /** Counts a reply; a start of a request is granted and then confirmed on a real tunnel. */
    private meterReply({ key }: WorkOffer, reply: GateReply, from: string, to: string): void {
        if (from === to) {
            return;
        }
        if (reply.kind === GateReplyKind.Answered) {
            this.addCrossBytes("response bodies", reply.answer.body.length);
            this.meterFrame("replies", from, to, { kind: FrameKind.Reply, key, reply: { ...reply, answer: { ...reply.answer, body: Buffer.alloc(0) } } });
        }
        else if (reply.kind === GateReplyKind.Started) {
            this.meterFrame("replies", from, to, { kind: FrameKind.Reply, key, reply: { kind: GateReplyKind.Granted } });
            this.meterFrame("offers", to, from, { kind: FrameKind.Confirm, key });
        }
        else {
            this.meterFrame(reply.kind === GateReplyKind.Refused ? "refusals" : "replies", from, to, { kind: FrameKind.Reply, key, reply });
        }
    }

    private inviteEntries({ gate, fleetView, invitations }: ModelVm): void {
        const { invitation } = gate;
        if (invitation !== undefined) {
            fleetView.applyInvitation(invitation);
            this.invite(invitation, invitations);
        }
    }

    private invite(invitation: Invitation, invitations: ProbeInvitations<TunnelCallbacks>): void {
        const entries = invitations.startRound(invitation.load.trialWish, nowMs());
        entries.forEach((entry) => this.deliver(() => entry.onInvitation(invitation)));
    }

    private handleLoadChange({ gate, fleetView, invitations }: ModelVm): void {
        const { load, invitation } = gate;
        fleetView.applyInvitation(invitation ?? { load, waitedMs: undefined });
        if (invitation === undefined) {
            invitations.end().forEach((entry) => this.deliver(() => entry.onInvitation({ load, waitedMs: undefined })));
        }
        else if (!invitations.isOpen) {
            this.invite(invitation, invitations);
        }
    }

    private deliver(message: () => void): void {
        setTimeout(message, this.options.oneWayDelayMs);
    }

    private sendRequest(service: ModelService): void {
        const entry = this.chooseEntry(service);
        const requestKind = this.arrivalRandom() < service.repeatableShare ? RequestKind.Repeatable : RequestKind.Once;
        const isShort = service.shortShare !== undefined && this.arrivalRandom() < service.shortShare;
        const body = this.createBody(service);
        const arrivedAtMs = nowMs();
        this.requestCount += 1;
        entry?.dispatcher.dispatch({
            request: {
                method: "GET",
                path: `/${service.name}/${requestKind}/${isShort ? "short/" : ""}${this.requestCount}`,
                host: MODEL_HOST,
                headers: [],
                body,
                hasBody: body.length > 0,
                requestId: `${this.requestCount}`,
                apiKey: undefined,
                patienceMs: undefined,
                arrivedAtMs,
            },
            respond: ({ status }) => {
                this.answeredCount += 1;
                if (status >= MIN_FAILED_STATUS) {
                    this.failureCount += 1;
                    return;
                }
                const latencies = this.latenciesMs.get(service.name) ?? [];
                latencies.push(nowMs() - arrivedAtMs);
                this.latenciesMs.set(service.name, latencies);
                const isTimely = service.targetLatencyMs === undefined || nowMs() - arrivedAtMs <= service.targetLatencyMs;
                this.timely.set(service.name, (this.timely.get(service.name) ?? 0) + (isTimely ? 1 : 0));
            },
            onDisconnect: () => undefined,
        });
    }

    /** Chooses the entry of a request: any one with the same probability, or with the demand of its failure domain at this time. */
    private chooseEntry({ demandSwing }: ModelService): ModelVm | undefined {
        const entries = [...this.vms.values()];
        let entry = entries[Math.floor(this.arrivalRandom() * entries.length)];
        while (demandSwing !== undefined && entry !== undefined) {
            const domain = Number(entry.record.failureDomain.split("-")[1]) / this.options.failureDomainCount;
            const demand = 1 + demandSwing * Math.sin(2 * Math.PI * (nowMs() / SWING_PERIOD_MS + domain));
            if (this.arrivalRandom() * (1 + demandSwing) < demand) {
                return entry;
            }
            entry = entries[Math.floor(this.arrivalRandom() * entries.length)];
        }
        return entry;
    }

    private createBody(service: ModelService): Buffer {
        const { bodyBytes } = service;
        if (bodyBytes === undefined) {
            return Buffer.alloc(0);
        }
        const largest = this.bodies.get(service) ?? Buffer.alloc(MAX_BODY_FACTOR * bodyBytes);
        this.bodies.set(service, largest);
        return largest.subarray(0, Math.min(largest.length, Math.round(-Math.log(1 - this.arrivalRandom()) * bodyBytes)));
    }
}

function readStatement(headers: HeaderList): EndpointStatement {
    const limit = findHeader(headers, ModelHeaderName.Limit);
    return {
        limit: limit === undefined ? { kind: StatedLimitKind.None } : { kind: StatedLimitKind.Rate, perSecond: Number(limit) },
        isLeaving: findHeader(headers, ModelHeaderName.Leaving) !== undefined,
    };
}
