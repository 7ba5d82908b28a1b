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
import { MessageKind } from "../../../src/links/MessageKind.js";
import { HeaderList } from "../../../src/model/HeaderList.js";
import { RequestKind } from "../../../src/model/RequestKind.js";
import { EventLog } from "../../../src/logs/EventLog/index.js";
import { FleetUpdateRelay } from "../../../src/mesh/FleetUpdateRelay/index.js";
import { LoadReporter } from "../../../src/mesh/LoadReporter/index.js";
import { EndpointDialect } from "../../../src/serving/EndpointDialect.js";
import { ServingGate } from "../../../src/serving/ServingGate/index.js";
import { GateTunnel } from "../../../src/tunnel/GateTunnel.js";
import { Invitation } from "../../../src/tunnel/Invitation.js";
import { TunnelCallbacks } from "../../../src/tunnel/TunnelCallbacks.js";
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
    private readonly vms = new Map<string, ModelVm>();
    private readonly controls: FleetUpdateRelay[] = [];
    private readonly nextArrivalAtMs = new Map<ModelService, number>();
    private invitationTimer: NodeJS.Timeout | undefined;
    private requestCount = 0;
    private answeredCount = 0;
    private failureCount = 0;

    private constructor(private readonly options: FleetModelOptions) {
        this.random = createRandom(options.seed);
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
        model.invitationTimer = setInterval(() => model.vms.forEach((vm) => model.inviteEntries(vm)), INVITATION_INTERVAL_MS);
        return model;
    }

    /** Number of requests so far, and of those that have failed or were refused. */
    get counts(): { readonly requests: number; readonly answered: number; readonly failures: number } {
        return { requests: this.requestCount, answered: this.answeredCount, failures: this.failureCount };
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
                atMs += -Math.log(1 - this.random()) * MS_PER_S / service.requestsPerSecond;
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

    private createVms(service: ModelService): readonly GateRecord[] {
        return Array.from({ length: service.endpointCount }, (_, index) => {
            const name = `${service.name}-${index}`;
            const limitPerSecond = index < (service.limit?.endpointCount ?? 0) ? service.limit?.perSecond : undefined;
            return this.createVm(name, service, index % this.options.failureDomainCount, limitPerSecond);
        });
    }

    private createVm(name: string, service: ModelService, domain: number, limitPerSecond: number | undefined): GateRecord {
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
        const backend = ModelBackend.create(service, this.random);
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
            openTunnel: (gateAddress, callbacks) => this.openTunnel(gateAddress, callbacks),
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

    private openTunnel(gateAddress: string, callbacks: TunnelCallbacks): GateTunnel {
        const vm = this.vms.get(gateAddress);
        vm?.invitations.addEntry(callbacks);
        return {
            isReachable: true,
            isWaiting: false,
            open: () => undefined,
            tick: () => undefined,
            resetBackoff: () => undefined,
            close: () => undefined,
            offer: (offer, onReply) => {
                this.deliver(() => {
                    vm?.invitations.recordRequest(callbacks, offer.requestKind, nowMs());
                    vm?.gate.offer(offer, (reply) => this.deliver(() => onReply(reply)));
                });
                return { cancel: () => undefined, confirm: () => undefined };
            },
        };
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
        const entries = [...this.vms.values()];
        const entry = entries[Math.floor(this.random() * entries.length)];
        const requestKind = this.random() < service.repeatableShare ? RequestKind.Repeatable : RequestKind.Once;
        this.requestCount += 1;
        entry?.dispatcher.dispatch({
            request: {
                method: "GET",
                path: `/${service.name}/${requestKind}/${this.requestCount}`,
                host: MODEL_HOST,
                headers: [],
                body: Buffer.alloc(0),
                hasBody: false,
                requestId: `${this.requestCount}`,
                apiKey: undefined,
                patienceMs: undefined,
                arrivedAtMs: nowMs(),
            },
            respond: ({ status }) => {
                this.answeredCount += 1;
                this.failureCount += status >= MIN_FAILED_STATUS ? 1 : 0;
            },
            onDisconnect: () => undefined,
        });
    }
}

function readStatement(headers: HeaderList): EndpointStatement {
    const limit = findHeader(headers, ModelHeaderName.Limit);
    return {
        limit: limit === undefined ? { kind: StatedLimitKind.None } : { kind: StatedLimitKind.Rate, perSecond: Number(limit) },
        isLeaving: findHeader(headers, ModelHeaderName.Leaving) !== undefined,
    };
}
