import type { IncomingMessage, ServerResponse } from "node:http";
import { nowMs } from "../../clock/nowMs/index.js";
import { QuarantineController } from "../../controllers/QuarantineController/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { ServiceSpec } from "../../decisions/configuration/ServiceSpec.js";
import { GateLimits } from "../../decisions/gate/GateLimits.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { SettleResult } from "../../model/SettleResult.js";
import { EndpointRecord } from "../../model/EndpointRecord.js";
import { EndpointState } from "../../model/EndpointState.js";
import { FleetError } from "../../model/FleetError.js";
import { SettleRequest } from "../../model/SettleRequest.js";
import { Step } from "../../model/Step.js";
import { Announcement } from "../Announcement.js";
import { AnnouncementReply } from "../AnnouncementReply.js";
import { GateController } from "../GateController/index.js";
import { LocalEndpoint } from "../LocalEndpoint.js";
import { ReceivedAttempt } from "../ReceivedAttempt.js";
import { RetainedAnswerStore } from "../RetainedAnswerStore/index.js";

const LEASE_MS = 3_000;
const TICK_INTERVAL_MS = 50;
const MAX_ENDPOINTS = 64;
/** Time for which gates keep the phase of keyed attempts beyond the retention of their keys, in ms. */
const KEYED_RETENTION_MARGIN_MS = 600_000;
const MAX_GATES = 256;

/** Manages the endpoints on this VM: their announcements, leases, gates and drains. */
export class EndpointController {
    private readonly endpoints = new Map<string, LocalEndpoint>();
    private readonly gates = new Map<string, GateController>();
    private openedGateCount = 0;
    private readonly answers = RetainedAnswerStore.create();
    private readonly timer: NodeJS.Timeout;
    private isDraining = false;
    private onChange: () => void = () => undefined;

    private constructor(
        private readonly vm: string,
        private readonly incarnation: string,
        private readonly view: () => ConfigurationView,
        private readonly quarantine: QuarantineController,
        private readonly events: EventLog,
    ) {
        this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
    }

    /**
     * Creates the controller of the endpoints on a VM.
     *
     * @param vm - Name of the VM.
     * @param incarnation - Incarnation of the process.
     * @param view - Returns the configuration in force.
     * @param quarantine - Tracks requests that crash backend servers.
     * @param events - Event log.
     */
    static create(
        vm: string,
        incarnation: string,
        view: () => ConfigurationView,
        quarantine: QuarantineController,
        events: EventLog,
    ): EndpointController {
        return new EndpointController(vm, incarnation, view, quarantine, events);
    }

    /** Sets the callback for changes of the endpoint records. */
    setChangeListener(onChange: () => void): void {
        this.onChange = onChange;
    }

    /** Records of all endpoints, to publish to the fleet. */
    records(): readonly EndpointRecord[] {
        return [...this.endpoints].map(([endpointId, endpoint]) => ({
            endpointId,
            gate: endpoint.gate.gate,
            service: endpoint.announcement.service,
            state: endpoint.state,
            slots: endpoint.limits.slots,
            connections: endpoint.limits.connections,
        }));
    }

    /** All endpoints by endpoint id. */
    all(): ReadonlyMap<string, LocalEndpoint> {
        return this.endpoints;
    }

    /** Answers that the gates have retained. */
    get retainedAnswers(): RetainedAnswerStore {
        return this.answers;
    }

    /**
     * Registers an endpoint or renews its lease.
     *
     * @throws FleetError if the service is unknown or the VM has too many endpoints.
     */
    announce(endpointId: string, announcement: Announcement): AnnouncementReply {
        const service = this.view().service(announcement.service);
        if (service === undefined) {
            throw this.reject(endpointId, `service: found "${announcement.service}": no such service in the configuration in force`);
        }
        const existing = this.endpoints.get(endpointId);
        const isNew = existing === undefined || isNewInstance(existing, announcement);
        if (isNew && this.endpoints.size >= MAX_ENDPOINTS && existing === undefined) {
            throw this.reject(endpointId, `more than ${MAX_ENDPOINTS} endpoints on one VM`);
        }
        const endpoint = isNew ? this.openGate(endpointId, announcement, service) : existing;
        this.renewLease(endpointId, endpoint, announcement);
        return { endpointId, state: endpoint.state, leaseMs: LEASE_MS, mayStop: endpoint.gate.isDrained };
    }

    /** Begins to drain an endpoint; false if it is unknown. */
    drain(endpointId: string): boolean {
        const endpoint = this.endpoints.get(endpointId);
        if (endpoint !== undefined && endpoint.state !== EndpointState.Draining) {
            this.setState(endpointId, endpoint, EndpointState.Draining);
            this.events.record(EventNumber.EndpointDraining, { endpoint: endpointId });
            endpoint.gate.startDrain();
        }
        return endpoint !== undefined;
    }

    /** Begins to drain all endpoints; endpoints announced later are drained immediately. */
    drainAll(): void {
        this.isDraining = true;
        [...this.endpoints.keys()].forEach((endpointId) => this.drain(endpointId));
    }

    /** Whether the gates of all endpoints have drained. */
    get isDrained(): boolean {
        return [...this.endpoints.values()].every((endpoint) => endpoint.gate.isDrained);
    }

    /** Passes an attempt to its gate; false if the endpoint is not on this VM. */
    handleAttempt(received: ReceivedAttempt, request: IncomingMessage, response: ServerResponse): boolean {
        const endpoint = this.endpoints.get(received.endpointId);
        endpoint?.gate.handleAttempt(received, request, response);
        return endpoint !== undefined;
    }

    /** Answers a settle message about an attempt. */
    settle(request: SettleRequest): SettleResult {
        return this.gates.get(request.gate)?.settle(request) ?? SettleResult.Unknown;
    }

    /** Applies a new configuration to the gates of all endpoints. */
    configure(): void {
        this.endpoints.forEach((endpoint) => {
            const service = this.view().service(endpoint.announcement.service);
            if (service !== undefined) {
                endpoint.limits = limitsOf(this.view(), service, endpoint.announcement);
                endpoint.gate.setLimits(endpoint.limits);
            }
        });
        this.onChange();
    }

    /** Stops the timer and closes all connections. */
    close(): void {
        clearInterval(this.timer);
        this.gates.forEach((gate) => gate.close());
    }

    private openGate(endpointId: string, announcement: Announcement, service: ServiceSpec): LocalEndpoint {
        const limits = limitsOf(this.view(), service, announcement);
        this.openedGateCount += 1;
        const gate = GateController.create({
            endpointId,
            gate: `${this.incarnation}.${this.openedGateCount}`,
            vm: this.vm,
            backendAddress: announcement.address,
            limits,
            notRunStatuses: service.notRunStatuses,
            answers: this.answers,
            quarantine: this.quarantine,
            events: this.events,
            onDrained: () => this.events.record(EventNumber.EndpointDrained, { endpoint: endpointId }),
        });
        this.endpoints.get(endpointId)?.gate.startDrain();
        this.addGate(gate);
        this.events.record(EventNumber.EndpointAnnounced, { endpoint: endpointId, service: service.name });
        return { announcement, gate, limits, state: announcement.state, leaseEndsAtMs: 0 };
    }

    private addGate(gate: GateController): void {
        this.gates.set(gate.gate, gate);
        if (this.gates.size > MAX_GATES) {
            const oldest = [...this.gates.values()].find((candidate) => candidate.isDrained);
            oldest?.close();
            this.gates.delete(oldest?.gate ?? "");
        }
    }

    private renewLease(endpointId: string, endpoint: LocalEndpoint, announcement: Announcement): void {
        const isKnown = this.endpoints.get(endpointId) === endpoint;
        const hasChanged = !isKnown || endpoint.state !== announcement.state;
        this.endpoints.set(endpointId, endpoint);
        endpoint.leaseEndsAtMs = nowMs() + LEASE_MS;
        if (this.isDraining || announcement.state === EndpointState.Draining) {
            this.drain(endpointId);
        }
        else if (hasChanged && endpoint.state !== EndpointState.Draining) {
            this.setState(endpointId, endpoint, announcement.state);
        }
    }

    private setState(endpointId: string, endpoint: LocalEndpoint, state: EndpointState): void {
        endpoint.state = state;
        this.endpoints.set(endpointId, endpoint);
        this.onChange();
    }

    private tick(): void {
        const atMs = nowMs();
        this.gates.forEach((gate) => gate.tick());
        this.endpoints.forEach((endpoint, endpointId) => {
            if (endpoint.state !== EndpointState.Left && endpoint.leaseEndsAtMs <= atMs) {
                this.events.record(EventNumber.EndpointLeaseLapsed, { endpoint: endpointId });
                endpoint.gate.startDrain();
                this.setState(endpointId, endpoint, EndpointState.Left);
            }
        });
    }

    private reject(endpointId: string, problem: string): FleetError {
        this.events.record(EventNumber.EndpointRefused, { endpoint: endpointId, problem });
        return FleetError.create({ step: Step.Announce, peer: endpointId }, problem);
    }
}

function isNewInstance(existing: LocalEndpoint, announcement: Announcement): boolean {
    return existing.state === EndpointState.Left
        || existing.announcement.address !== announcement.address
        || existing.announcement.instance !== announcement.instance;
}

function limitsOf(view: ConfigurationView, service: ServiceSpec, announcement: Announcement): GateLimits {
    const slots = Math.min(service.slotsPerEndpoint, announcement.slots ?? service.slotsPerEndpoint);
    return {
        slots,
        reservedSlots: Math.min(service.reservedSlots, slots),
        connections: Math.min(service.connectionsPerEndpoint, announcement.connections ?? service.connectionsPerEndpoint),
        queue: service.queuePerEndpoint,
        keyedRetentionMs: (view.fleet?.keyRetentionMs ?? 0) + KEYED_RETENTION_MARGIN_MS,
    };
}
