import type { Server } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { nowMs } from "../../clock/nowMs/index.js";
import { QuarantineController } from "../../controllers/QuarantineController/index.js";
import { WitnessController } from "../../controllers/WitnessController/index.js";
import { RosterWitness } from "../../decisions/claims/RosterWitness.js";
import { WitnessReply } from "../../decisions/claims/WitnessReply.js";
import { WitnessRequest } from "../../decisions/claims/WitnessRequest.js";
import { chooseEndpoint } from "../../decisions/balancing/chooseEndpoint/index.js";
import { ReadinessTracker } from "../../decisions/configuration/ReadinessTracker/index.js";
import { EndpointIndex } from "../../decisions/membership/EndpointIndex/index.js";
import { RetryBudget } from "../../decisions/requests/RetryBudget/index.js";
import { AttemptIdAllocator } from "../../entry/AttemptIdAllocator/index.js";
import { AttemptSender } from "../../entry/AttemptSender/index.js";
import { createCallerApp } from "../../entry/createCallerApp/index.js";
import { EndpointLoads } from "../../entry/EndpointLoads/index.js";
import { EntryController } from "../../entry/EntryController/index.js";
import { EntryDependencies } from "../../entry/EntryDependencies.js";
import { AttemptFilter } from "../../filters/AttemptFilter/index.js";
import { BodyFilter } from "../../filters/BodyFilter/index.js";
import { DeadlineFilter } from "../../filters/DeadlineFilter/index.js";
import { RouteFilter } from "../../filters/RouteFilter/index.js";
import { RateLimitFilter } from "../../filters/RateLimitFilter/index.js";
import { QuarantineFilter } from "../../filters/QuarantineFilter/index.js";
import { RecordFilter } from "../../filters/RecordFilter/index.js";
import { RequestContext } from "../../filters/RequestContext.js";
import { createAnnounceApp } from "../../gate/createAnnounceApp/index.js";
import { createGateApp } from "../../gate/createGateApp/index.js";
import { EndpointController } from "../../gate/EndpointController/index.js";
import { deriveToken } from "../../http/deriveToken/index.js";
import { listenHttp } from "../../http/listenHttp/index.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { RequestMetrics } from "../../metrics/RequestMetrics/index.js";
import { SettleResult } from "../../model/SettleResult.js";
import { GateRef } from "../../model/GateRef.js";
import { SettleRequest } from "../../model/SettleRequest.js";
import { ProxyDependencies } from "../ProxyDependencies.js";

/** Timeout of calls to gates and witnesses on other VMs, in ms. */
const PEER_CALL_TIMEOUT_MS = 500;
/** Interval at which idle connections to gates are closed, in ms. */
const IDLE_CLOSE_INTERVAL_MS = 5_000;
const DRAIN_POLL_INTERVAL_MS = 20;
/** Time for the draining state to reach other members and callers before the caller port closes, in ms. */
const DRAIN_PROPAGATION_MS = 500;

/** Proxy role of a process: the entry for callers and the gate of the endpoints on its VM. */
export class ProxyRole {
    private readonly retryBudgets = new Map<string, RetryBudget>();
    private readonly readiness = ReadinessTracker.create();
    private readonly endpointIndex: EndpointIndex;
    private readonly idleTimer: NodeJS.Timeout;
    private servers: readonly Server[] = [];
    readonly entry: EntryController;
    readonly witness: WitnessController;

    private constructor(
        private readonly dependencies: ProxyDependencies,
        private readonly sender: AttemptSender,
        readonly endpoints: EndpointController,
        readonly quarantine: QuarantineController,
        readonly metrics: RequestMetrics,
    ) {
        const { incarnation, configuration, membership, links, events } = dependencies;
        const { vm } = membership.ownRecord;
        this.witness = WitnessController.create(vm, incarnation, () => configuration.view, (...call) => links.call(...call), events);
        this.endpointIndex = EndpointIndex.create(membership.directory);
        const entryDependencies = this.createEntryDependencies(AttemptIdAllocator.create(incarnation), EndpointLoads.create());
        const view = (): typeof configuration.view => configuration.view;
        this.entry = EntryController.create([
            RecordFilter.create(metrics, events),
            RouteFilter.create(view, () => this.isReady),
            RateLimitFilter.create(view),
            DeadlineFilter.create(),
            BodyFilter.create(),
            QuarantineFilter.create(quarantine),
            AttemptFilter.create(entryDependencies, view),
        ], events);
        this.idleTimer = setInterval(() => sender.closeIdle(), IDLE_CLOSE_INTERVAL_MS);
    }

    /**
     * Starts the role and listens for callers, attempts and announcements.
     *
     * @param dependencies - Settings and controllers that the role uses.
     * @throws FleetError if it cannot listen on one of its ports.
     */
    static async create(dependencies: ProxyDependencies): Promise<ProxyRole> {
        const { settings, ports, incarnation, configuration, membership, network, events } = dependencies;
        const token = deriveToken(settings.links.fleetKey);
        const metrics = RequestMetrics.create(settings.metrics?.statsdHost, settings.metrics?.statsdPort);
        const quarantine = QuarantineController.create(network, events);
        const endpoints = EndpointController.create(settings.vm.name, incarnation, () => configuration.view, quarantine, events);
        endpoints.setChangeListener(() => membership.setEndpoints(endpoints.records()));
        const role = new ProxyRole(dependencies, AttemptSender.create(token), endpoints, quarantine, metrics);
        const { address } = settings.vm;
        role.servers = [
            await listenHttp(address, ports.gatePort, "proxy.gatePort", createGateApp(endpoints, token)),
            await listenHttp("127.0.0.1", ports.announcePort, "proxy.announcePort", createAnnounceApp(endpoints)),
            await listenHttp(address, ports.callerPort, "proxy.callerPort", createCallerApp(role.entry)),
        ];
        return role;
    }

    /** True once peers in enough failure domains have reported their configuration and none is newer; stays true from then on. */
    get isReady(): boolean {
        if (this.readiness.hasBeenReady) {
            return true;
        }
        const { ownRecord, directory } = this.dependencies.membership;
        const others = directory.live().filter((member) => member.vm !== ownRecord.vm);
        return this.readiness.isReady(this.dependencies.configuration.view.position, new Set(others.map((member) => member.failureDomain)));
    }

    /** Handles a call from another process; returns undefined if the call is not for the proxy role. */
    handleCall(message: Message): Message | undefined {
        switch (message.kind) {
            case MessageKind.Settle:
                return { kind: MessageKind.Verdict, verdict: this.endpoints.settle(message.question) };
            case MessageKind.Witness:
                return { kind: MessageKind.WitnessReply, reply: this.witness.handleRequest(message.request) };
            case MessageKind.ClaimsFetch:
                return this.witness.handleClaimsFetch();
            default:
                return undefined;
        }
    }

    /** Handles a message from another process; ignores messages that are not for the proxy role. */
    handleMessage(link: PeerLink, message: Message): void {
        switch (message.kind) {
            case MessageKind.Heartbeat:
                this.readiness.recordPeerPosition(link.peer.vm, link.peer.failureDomain, message.position);
                return;
            case MessageKind.Strike:
                this.quarantine.recordStrike(message.fingerprint, message.loss, link.peer.vm);
                return;
            case MessageKind.StrikesCleared:
                this.quarantine.clearStrikes(message.fingerprint, link.peer.vm);
                return;
            default:
                return;
        }
    }

    /** Starts draining: the endpoints on the VM accept no new requests. */
    startDrain(): void {
        this.endpoints.drainAll();
    }

    /** Drains the endpoints and the entry; resolves when no request is in flight. */
    async drain(): Promise<void> {
        this.startDrain();
        this.entry.startDrain();
        await delay(DRAIN_PROPAGATION_MS);
        const callerServer = this.servers.at(-1);
        callerServer?.close();
        callerServer?.closeIdleConnections();
        while (this.entry.inFlight > 0 || !this.endpoints.isDrained) {
            await delay(DRAIN_POLL_INTERVAL_MS);
        }
    }

    /** Stops listening and closes all connections. */
    close(): void {
        clearInterval(this.idleTimer);
        this.servers.forEach((server) => {
            server.close();
            server.closeAllConnections();
        });
        this.sender.close();
        this.endpoints.close();
        this.witness.close();
        this.metrics.close();
    }

    private createEntryDependencies(attemptIdAllocator: AttemptIdAllocator, loads: EndpointLoads): EntryDependencies {
        return {
            sender: this.sender,
            attemptIdAllocator,
            loads,
            events: this.dependencies.events,
            quarantine: this.quarantine,
            chooseGate: (context, excluded) => this.selectEndpoint(context, excluded, loads),
            tryWithdrawRetry: (service) => this.getRetryBudget(service).tryWithdraw(),
            callWitness: (witness, request) => this.callWitness(witness, request),
            settleClaimedAttempt: (id, gate, mode) => this.settleAttempt(gate, { id, gate: gate.gate, lowWater: 0, keyed: true, mode }),
            settle: (id, gate, mode, keyed) => this.settleAttempt(gate, { id, gate: gate.gate, lowWater: attemptIdAllocator.lowWater, keyed, mode }),
        };
    }

    private selectEndpoint(context: RequestContext, excluded: readonly GateRef[], loads: EndpointLoads): GateRef | undefined {
        const service = context.service?.name ?? "";
        if (this.quarantine.isQuarantined(context.fingerprint)) {
            return undefined;
        }
        if (excluded.length === 0) {
            this.getRetryBudget(service).deposit(this.dependencies.configuration.view.fleet?.retryShare ?? 0);
        }
        const atMs = nowMs();
        const candidates = this.endpointIndex.servingEndpoints(service)
            .filter((endpoint) => !excluded.some((gate) => gate.gate === endpoint.gate.gate))
            .map((endpoint) => ({
                gate: endpoint.gate,
                loadPerSlot: loads.loadPerSlot(endpoint.gate, endpoint.record.slots, atMs),
                weight: 1,
            }));
        return chooseEndpoint(candidates, Math.random)?.gate;
    }

    private getRetryBudget(service: string): RetryBudget {
        const budget = this.retryBudgets.get(service) ?? RetryBudget.create();
        this.retryBudgets.set(service, budget);
        return budget;
    }

    private async callWitness(witness: RosterWitness, request: WitnessRequest): Promise<WitnessReply | undefined> {
        if (witness.vm === this.dependencies.membership.ownRecord.vm) {
            return this.witness.handleRequest(request);
        }
        const message = { kind: MessageKind.Witness as const, request };
        const reply = await this.dependencies.links.call(witness.vm, witness.linkAddress, message, PEER_CALL_TIMEOUT_MS);
        return reply?.kind === MessageKind.WitnessReply ? reply.reply : undefined;
    }

    private async settleAttempt(gate: GateRef, request: SettleRequest): Promise<SettleResult> {
        if (gate.vm === this.dependencies.membership.ownRecord.vm) {
            return this.endpoints.settle(request);
        }
        const reply = await this.dependencies.links.call(
            gate.vm,
            gate.linkAddress,
            { kind: MessageKind.Settle, question: request },
            PEER_CALL_TIMEOUT_MS,
        );
        return reply?.kind === MessageKind.Verdict ? reply.verdict : SettleResult.Unreachable;
    }
}
