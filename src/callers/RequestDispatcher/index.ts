import { createHash } from "node:crypto";
import { nowMs } from "../../clock/nowMs/index.js";
import { CallerKind } from "../../decisions/dispatch/CallerKind.js";
import { DispatchEffect } from "../../decisions/dispatch/DispatchEffect.js";
import { DispatchEffectKind } from "../../decisions/dispatch/DispatchEffectKind.js";
import { DispatchEvent } from "../../decisions/dispatch/DispatchEvent.js";
import { DispatchEventKind } from "../../decisions/dispatch/DispatchEventKind.js";
import { DispatchFailure } from "../../decisions/dispatch/DispatchFailure.js";
import { DispatchMachine } from "../../decisions/dispatch/DispatchMachine/index.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { PlacementPolicy } from "../../decisions/placement/PlacementPolicy.js";
import { OrganisationItem } from "../../decisions/items/OrganisationItem.js";
import { pickService } from "../../decisions/items/pickService/index.js";
import { RouteItem } from "../../decisions/items/RouteItem.js";
import { RouteTable } from "../../decisions/items/RouteTable/index.js";
import { QuotaDecisionKind } from "../../decisions/quotas/QuotaDecisionKind.js";
import { QuarantineTracker } from "../../decisions/quarantine/QuarantineTracker/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { assertNever } from "../../model/assertNever/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { toError } from "../../model/toError/index.js";
import { GateReply } from "../../tunnel/GateReply.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { OfferHandle } from "../../tunnel/OfferHandle.js";
import { CallerExchange } from "../CallerExchange.js";
import { FleetView } from "../FleetView/index.js";
import { QuotaPort } from "../QuotaPort.js";
import { RequestDispatcherOptions } from "../RequestDispatcherOptions.js";

/** Retry-after of requests that are refused before they are offered to a gate, in ms. */
const DEFAULT_RETRY_AFTER_MS = 300;
/** Share of requests that may become probe requests. Low, because one of many entries is enough to probe an endpoint. */
const PROBE_SHARE = 0.3;
/** Endpoint crashes after which a request is quarantined; two can be a coincidence where many requests share a path. */
const QUARANTINE_STRIKES = 3;
/** Lowest status code that counts as a failure. */
const MIN_FAILED_STATUS = 500;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_BAD_GATEWAY = 502;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;
/** Challenge of a response to a request without a valid key (RFC 9110, section 11.6.1). */
const CHALLENGE: HeaderList = [["WWW-Authenticate", "Bearer"]];
/** Priority of requests without an organisation: calls that running requests wait for. */
const HIGHEST_PRIORITY = 0;
const PORT_SUFFIX = /:\d+$/;

/** Request with a key that has passed, and whose service is chosen. */
interface IdentifiedRequest {
    readonly exchange: CallerExchange;
    readonly route: RouteItem;
    readonly service: string;
    /** Organisation of the caller, or undefined if the request needs none. */
    readonly organisation: OrganisationItem | undefined;
    readonly fingerprint: string;
}

/** Request in progress. */
interface ActiveRequest extends IdentifiedRequest {
    /** Time until which the token of its organisation may be used if it does not run, in ms; undefined without a token. */
    readonly tokenExpiresAtMs: number | undefined;
    /** Header fields that are forwarded to the endpoint. */
    readonly headers: HeaderList;
    readonly stateMachine: DispatchMachine;
    readonly callOfRepeatShare: number;
    readonly deadlineAtMs: number;
    readonly targetAtMs: number;
    readonly handlesByAttempt: Map<number, OfferHandle>;
    readonly vmsByAttempt: Map<number, string>;
    readonly timers: Set<NodeJS.Timeout>;
    /** True once an unexpected error has ended the request. */
    hasFailed: boolean;
}

/** What is known about an offer from the time at which it was sent. */
interface SentOffer {
    readonly vm: string;
    readonly endpoint: EndpointReport | undefined;
    readonly atMs: number;
    /** Time at which it was known to run, or undefined if it has not started. */
    readonly startedAtMs: number | undefined;
    readonly loadAgeMs: number | undefined;
    readonly isProbe: boolean;
}

/**
 * Serves the requests of callers. Finds the route of a request, feeds events to its state machine and executes the effects
 * that the state machine decides on. Quarantines requests that crash several endpoints.
 */
export class RequestDispatcher {
    private readonly quarantine = QuarantineTracker.create(QUARANTINE_STRIKES);
    private routeTable: RouteTable | undefined;
    private offersMade = 0;
    private readonly activeRequests = new Set<ActiveRequest>();
    /** Requests that wait for a token of their organisation. */
    private readonly waitingExchanges = new Set<CallerExchange>();
    private stopAtMs = Number.POSITIVE_INFINITY;
    private failureAtMs = Number.NEGATIVE_INFINITY;
    private isRefusingAll = false;

    private constructor(
        private readonly options: RequestDispatcherOptions,
        private readonly fleetView: FleetView,
        private readonly events: EventLog,
    ) {}

    /**
     * Creates a dispatcher without a configuration, which refuses all requests.
     *
     * @param options - Settings and dependencies.
     * @param fleetView - Gates of the fleet.
     * @param events - Event log.
     */
    static create(options: RequestDispatcherOptions, fleetView: FleetView, events: EventLog): RequestDispatcher {
        return new RequestDispatcher(options, fleetView, events);
    }

    /** Number of requests in progress. */
    get activeCount(): number {
        return this.activeRequests.size + this.waitingExchanges.size;
    }

    /** Time at which a repeatable request of this entry last failed, in ms. */
    get lastFailureAtMs(): number {
        return this.failureAtMs;
    }

    /** Sets the routes of the configuration in force. */
    setRouteTable(routeTable: RouteTable): void {
        this.routeTable = routeTable;
    }

    /** Records that an endpoint crashed while it executed a request of this or another entry. */
    recordStrike(fingerprint: string, loss: string): void {
        this.quarantine.recordStrike(fingerprint, loss, nowMs());
    }

    /** Records that a request was answered at another entry, which clears its strikes. */
    clearStrikes(fingerprint: string): void {
        this.quarantine.clearStrikes(fingerprint, nowMs());
    }

    /**
     * Limits the target latency of new requests, so that they are served before the process stops.
     *
     * @param stopAtMs - Time at which the process stops.
     */
    startDraining(stopAtMs: number): void {
        this.stopAtMs = stopAtMs;
    }

    /** Responds to all callers now, with a refusal if their request has not been executed. */
    finishAll(): void {
        this.waitingExchanges.forEach((exchange) => this.refuse(exchange, RefusalCause.Stopping, DEFAULT_RETRY_AFTER_MS));
        this.waitingExchanges.clear();
        [...this.activeRequests].forEach((active) => this.applyEvent(active, { kind: DispatchEventKind.Stop }));
    }

    /** Refuses all requests from now on, because the process is about to stop. */
    refuseAll(): void {
        this.isRefusingAll = true;
    }

    /** Serves a request of a caller. */
    dispatch(exchange: CallerExchange): void {
        const { request } = exchange;
        if (this.isRefusingAll) {
            this.refuse(exchange, RefusalCause.Stopping, DEFAULT_RETRY_AFTER_MS);
            return;
        }
        if (this.routeTable === undefined) {
            this.refuse(exchange, RefusalCause.NoConfiguration, DEFAULT_RETRY_AFTER_MS);
            return;
        }
        const route = this.routeTable.route(request.host.replace(PORT_SUFFIX, ""), request.path);
        if (route === undefined) {
            this.respondDirectly(exchange, STATUS_NOT_FOUND, undefined);
            return;
        }
        const organisation = this.findOrganisation(this.routeTable, exchange);
        if (this.routeTable.hasOrganisations && !route.isKeyExempt && organisation === undefined) {
            this.refuseUnauthorized(exchange);
            return;
        }
        const service = pickService(route.services, Math.random);
        if (service === undefined) {
            this.refuse(exchange, RefusalCause.NoEndpoint, DEFAULT_RETRY_AFTER_MS);
            return;
        }
        const fingerprint = createHash("sha1").update(`${service} ${request.method} ${request.path} `).update(request.body).digest("base64");
        if (this.quarantine.isQuarantined(fingerprint, nowMs())) {
            this.refuse(exchange, RefusalCause.Quarantined, DEFAULT_RETRY_AFTER_MS);
            return;
        }
        const identified = { exchange, route, service, organisation, fingerprint };
        const { quota } = this.options;
        if (quota === undefined || organisation === undefined || route.isKeyExempt || organisation.ratePerSecond <= 0) {
            this.start(identified, undefined);
            return;
        }
        this.startWithinQuota(identified, organisation, quota);
    }

    /** Starts a request once it has a token of its organisation, unless the caller has gone or the process has stopped by then. */
    private startWithinQuota(identified: IdentifiedRequest, organisation: OrganisationItem, quota: QuotaPort): void {
        const { exchange } = identified;
        this.waitingExchanges.add(exchange);
        exchange.onDisconnect(() => this.waitingExchanges.delete(exchange));
        quota.acquire(organisation, deadlineOf(identified), (decision) => {
            const isWaiting = this.waitingExchanges.delete(exchange);
            if (decision.kind === QuotaDecisionKind.Granted) {
                if (isWaiting) {
                    this.start(identified, decision.expiresAtMs);
                    return;
                }
                quota.giveBack(organisation.name, decision.expiresAtMs);
            }
            else if (isWaiting) {
                this.refuse(exchange, RefusalCause.Quota, decision.retryAfterMs, organisation.name);
            }
        });
    }

    /** Finds the organisation that holds the key of a request, also if its route needs none. */
    private findOrganisation(routeTable: RouteTable, { request }: CallerExchange): OrganisationItem | undefined {
        return request.apiKey === undefined ? undefined : routeTable.findOrganisation(request.apiKey);
    }

    private refuseUnauthorized(exchange: CallerExchange): void {
        const { requestId, apiKey } = exchange.request;
        this.events.record(EventNumber.RequestUnauthorized, { requestId, problem: apiKey === undefined ? "no key" : "unknown key" });
        const headers = [...this.options.dialect.ownResponseHeaders(requestId, undefined), ...CHALLENGE];
        exchange.respond({ status: STATUS_UNAUTHORIZED, headers, body: Buffer.alloc(0) });
    }

    private forwardedHeaders({ request }: CallerExchange, organisation: OrganisationItem | undefined): HeaderList {
        return this.routeTable?.hasOrganisations === true
            ? this.options.dialect.identifiedHeaders(request.headers, organisation?.name)
            : request.headers;
    }

    private start(identified: IdentifiedRequest, tokenExpiresAtMs: number | undefined): void {
        const { exchange, route, service, organisation } = identified;
        const { arrivedAtMs } = exchange.request;
        const deadlineAtMs = deadlineOf(identified);
        const policy = this.placementPolicy;
        const isByTransfer = policy === PlacementPolicy.NearestInTime;
        const serviceMs = this.serviceMsOf(service, route);
        const targetAtMs = Math.min(arrivedAtMs + route.targetLatencyMs, this.stopAtMs - serviceMs);
        const stateMachine = DispatchMachine.create(
            { requestKind: route.requestKind, callerKind: this.callerKindOf(organisation), maxAttempts: route.maxAttempts, deadlineAtMs, targetAtMs },
            {
                rank: (refused) => this.fleetView.rankCandidates(service, {
                    policy,
                    requestKind: route.requestKind,
                    transferBytes: exchange.request.body.length + (isByTransfer ? this.fleetView.responseSizes.usualBytes(route.name) : 0),
                    serviceRatio: isByTransfer ? this.fleetView.routeTimes.ratioOf(route.name) : 1,
                    targetRemainingMs: targetAtMs - nowMs(),
                }, refused),
                shouldProbe: () => Math.random() < PROBE_SHARE,
                random: () => Math.random(),
                serviceMs,
            },
        );
        const active: ActiveRequest = {
            ...identified,
            tokenExpiresAtMs,
            headers: this.forwardedHeaders(exchange, organisation),
            stateMachine,
            callOfRepeatShare: this.options.callOfRepeatShare(),
            deadlineAtMs,
            targetAtMs,
            handlesByAttempt: new Map(),
            vmsByAttempt: new Map(),
            timers: new Set(),
            hasFailed: false,
        };
        this.activeRequests.add(active);
        exchange.onDisconnect(() => this.applyEvent(active, { kind: DispatchEventKind.CallerDisconnected }));
        this.scheduleEvent(active, deadlineAtMs, { kind: DispatchEventKind.Deadline });
        this.applyEvent(active, { kind: DispatchEventKind.Begin });
    }

    private get placementPolicy(): PlacementPolicy {
        return this.routeTable?.placementPolicy ?? PlacementPolicy.Soonest;
    }

    /** Time that a request is expected to run, in ms. */
    private serviceMsOf(service: string, route: RouteItem): number {
        return this.placementPolicy === PlacementPolicy.NearestInTime
            ? this.fleetView.routeServiceMs(service, route.name)
            : this.fleetView.meanServiceMs(service);
    }

    private callerKindOf(organisation: OrganisationItem | undefined): CallerKind {
        if (organisation !== undefined) {
            return CallerKind.Organisation;
        }
        return this.routeTable?.hasOrganisations === true ? CallerKind.RunningRequest : CallerKind.Unknown;
    }

    private applyEvent(active: ActiveRequest, event: DispatchEvent): void {
        if (active.stateMachine.isFinished || active.hasFailed) {
            return;
        }
        this.runGuarded(active, () => {
            const effects = active.stateMachine.step(event, nowMs());
            this.removeIfFinished(active);
            effects.forEach((effect) => this.executeEffect(active, effect));
        });
    }

    /** Runs a step of a request. An unexpected error ends the request with a response, since no timer may be left to do so. */
    private runGuarded(active: ActiveRequest, step: () => void): void {
        try {
            step();
        }
        catch (thrown) {
            this.abandon(active, toError(thrown));
        }
    }

    private abandon(active: ActiveRequest, error: Error): void {
        const { exchange, handlesByAttempt } = active;
        active.hasFailed = true;
        this.events.recordError(error, { requestId: exchange.request.requestId });
        this.remove(active);
        handlesByAttempt.forEach((handle) => handle.cancel());
        this.respondDirectly(exchange, STATUS_BAD_GATEWAY, undefined);
    }

    private removeIfFinished(active: ActiveRequest): void {
        if (active.stateMachine.isFinished) {
            this.remove(active);
        }
    }

    private remove(active: ActiveRequest): void {
        this.activeRequests.delete(active);
        active.timers.forEach((timer) => clearTimeout(timer));
    }

    private executeEffect(active: ActiveRequest, effect: DispatchEffect): void {
        switch (effect.kind) {
            case DispatchEffectKind.Offer:
                this.offer(active, effect);
                return;
            case DispatchEffectKind.Cancel:
                active.handlesByAttempt.get(effect.attempt)?.cancel();
                return;
            case DispatchEffectKind.ScheduleHedge:
                this.scheduleEvent(active, effect.atMs, { kind: DispatchEventKind.HedgeDue, attempt: effect.attempt });
                return;
            case DispatchEffectKind.Deliver:
                this.recordFailure(active, effect.answer.status >= MIN_FAILED_STATUS);
                this.deliver(active, effect);
                return;
            case DispatchEffectKind.Refuse:
                this.recordFailure(active, true);
                this.giveBackToken(active);
                this.refuse(active.exchange, effect.cause, effect.retryAfterMs, active.organisation?.name);
                return;
            case DispatchEffectKind.Fail:
                this.recordFailure(active, true);
                this.fail(active, effect.failure, effect.problem);
                return;
            default:
                assertNever(effect);
        }
    }

    private giveBackToken({ organisation, tokenExpiresAtMs }: ActiveRequest): void {
        if (organisation !== undefined && tokenExpiresAtMs !== undefined) {
            this.options.quota?.giveBack(organisation.name, tokenExpiresAtMs);
        }
    }

    private recordFailure(active: ActiveRequest, isFailure: boolean): void {
        if (isFailure && active.route.requestKind === RequestKind.Repeatable) {
            this.failureAtMs = nowMs();
        }
    }

    private offer(active: ActiveRequest, effect: Extract<DispatchEffect, { kind: DispatchEffectKind.Offer }>): void {
        const { attempt, vm, terms } = effect;
        const { request } = active.exchange;
        const gate = this.fleetView.gateOf(vm);
        const atMs = nowMs();
        const loadAgeMs = this.fleetView.loadAgeMs(vm);
        const endpoint = this.fleetView.find(vm)?.endpoint;
        let startedAtMs: number | undefined;
        this.offersMade += 1;
        this.fleetView.recordOffer(vm);
        active.vmsByAttempt.set(attempt, vm);
        const handle = gate?.offer({
            key: `${this.options.entryRun}/${this.offersMade}`,
            requestId: request.requestId,
            service: active.service,
            callerService: this.options.callerService(),
            endpointId: endpoint?.id ?? "",
            requestKind: active.route.requestKind,
            priority: active.route.priority,
            organisation: active.organisation?.name ?? "",
            organisationPriority: active.organisation?.priority ?? HIGHEST_PRIORITY,
            method: request.method,
            path: request.path,
            headers: active.headers,
            body: request.body,
            hasBody: request.hasBody,
            remainingMs: active.deadlineAtMs - atMs,
            targetRemainingMs: active.targetAtMs - atMs,
            usualMs: Math.round(this.serviceMsOf(active.service, active.route)),
            needsGo: false,
            callOfRepeatShare: active.callOfRepeatShare,
            limitPerSecond: this.fleetView.limitOf(vm),
            acceptsStream: true,
            ...terms,
        }, (reply) => this.runGuarded(active, () => {
            startedAtMs ??= reply.kind === GateReplyKind.Started ? nowMs() : undefined;
            if (reply.kind === GateReplyKind.Answered && (active.stateMachine.isFinished || active.hasFailed)) {
                reply.answer.stream?.cancel();
            }
            this.observeReply(active, { vm, endpoint, atMs, startedAtMs, loadAgeMs, isProbe: terms.isTrial }, reply);
            this.applyEvent(active, { kind: DispatchEventKind.Reply, attempt, reply });
        }));
        if (handle !== undefined && !active.stateMachine.isFinished) {
            active.handlesByAttempt.set(attempt, handle);
        }
    }

    /** Records what a reply says about its gate and its endpoint. */
    private observeReply(active: ActiveRequest, sent: SentOffer, reply: GateReply): void {
        const { vm, endpoint, atMs, startedAtMs, loadAgeMs, isProbe } = sent;
        if ((reply.kind === GateReplyKind.Refused || reply.kind === GateReplyKind.Answered) && reply.load !== undefined) {
            this.fleetView.applyLoad(reply.load);
        }
        if (reply.kind === GateReplyKind.Answered && endpoint !== undefined) {
            this.fleetView.recordStatement(endpoint, this.options.dialect.readStatement(reply.answer.headers), atMs);
        }
        if (reply.kind === GateReplyKind.Answered && startedAtMs !== undefined && reply.answer.status < MIN_FAILED_STATUS) {
            this.fleetView.routeTimes.recordRequest(active.route.name, nowMs() - startedAtMs, reply.load?.serviceMs ?? nowMs() - startedAtMs);
        }
        const isBusy = reply.kind === GateReplyKind.Refused && reply.cause === RefusalCause.Busy;
        if (!isBusy && (reply.kind === GateReplyKind.Refused || reply.kind === GateReplyKind.Broken)) {
            this.events.record(EventNumber.AttemptRetried, {
                requestId: active.exchange.request.requestId,
                peer: vm,
                outcome: reply.kind,
                cause: reply.kind === GateReplyKind.Refused ? reply.cause : reply.problem,
                isProbe,
                loadAgeMs,
            });
        }
        if (reply.kind === GateReplyKind.Broken && reply.lostEndpoint) {
            this.reportStrike(active, vm);
        }
    }

    private reportStrike(active: ActiveRequest, vm: string): void {
        const loss = `${vm}/${Math.round(nowMs())}`;
        this.events.record(EventNumber.RequestStruck, { requestId: active.exchange.request.requestId, peer: vm, fingerprint: active.fingerprint });
        this.recordStrike(active.fingerprint, loss);
        this.options.onStrike(active.fingerprint, loss);
    }

    private deliver(active: ActiveRequest, { answer, attempt }: Extract<DispatchEffect, { kind: DispatchEffectKind.Deliver }>): void {
        const { exchange } = active;
        if (!this.options.dialect.isGenuine(answer.status, answer.headers)) {
            answer.stream?.cancel();
            this.fail(active, DispatchFailure.OutcomeUnknown, "the response was not generated by an endpoint");
            return;
        }
        if (this.quarantine.clearStrikes(active.fingerprint, nowMs())) {
            this.options.onStrikesCleared(active.fingerprint);
        }
        this.fleetView.responseSizes.recordResponse(active.route.name, answer.body.length);
        this.events.record(EventNumber.RequestAnswered, {
            requestId: exchange.request.requestId,
            service: active.service,
            organisation: active.organisation?.name,
            status: answer.status,
            peer: active.vmsByAttempt.get(attempt),
            offers: active.stateMachine.offerCount,
            arrivals: active.stateMachine.arrivalCount,
            tookMs: Math.round(nowMs() - exchange.request.arrivedAtMs),
        });
        const { requestId } = exchange.request;
        const peer = active.vmsByAttempt.get(attempt);
        exchange.respond({ ...answer, onBroken: (problem) => this.events.record(EventNumber.AnswerAborted, { requestId, peer, problem }) });
    }

    private fail(active: ActiveRequest, failure: DispatchFailure, problem: string): void {
        const { exchange } = active;
        this.events.record(EventNumber.RequestFailed, {
            requestId: exchange.request.requestId,
            service: active.service,
            organisation: active.organisation?.name,
            failure,
            problem,
            peers: [...active.vmsByAttempt.values()],
            offers: active.stateMachine.offerCount,
            arrivals: active.stateMachine.arrivalCount,
            tookMs: Math.round(nowMs() - exchange.request.arrivedAtMs),
        });
        this.respondDirectly(exchange, failure === DispatchFailure.TimedOut ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY, undefined);
    }

    private refuse(exchange: CallerExchange, cause: RefusalCause, retryAfterMs: number, organisation?: string): void {
        const { requestId, arrivedAtMs } = exchange.request;
        const tookMs = Math.round(nowMs() - arrivedAtMs);
        this.events.record(EventNumber.RequestRefused, { requestId, organisation, cause, retryAfterMs, tookMs });
        this.respondDirectly(exchange, cause === RefusalCause.Quota ? STATUS_TOO_MANY_REQUESTS : STATUS_SERVICE_UNAVAILABLE, retryAfterMs);
    }

    private respondDirectly(exchange: CallerExchange, status: number, retryAfterMs: number | undefined): void {
        exchange.respond({
            status,
            headers: this.options.dialect.ownResponseHeaders(exchange.request.requestId, retryAfterMs),
            body: Buffer.alloc(0),
        });
    }

    private scheduleEvent(active: ActiveRequest, atMs: number, event: DispatchEvent): void {
        const timer = setTimeout(() => {
            active.timers.delete(timer);
            this.applyEvent(active, event);
        }, Math.max(0, atMs - nowMs()));
        active.timers.add(timer);
    }
}

function deadlineOf({ exchange, route }: IdentifiedRequest): number {
    const { arrivedAtMs, patienceMs } = exchange.request;
    return arrivedAtMs + Math.min(patienceMs ?? route.timeoutMs, route.timeoutMs);
}
