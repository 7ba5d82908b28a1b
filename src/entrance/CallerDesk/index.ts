import { createHash } from "node:crypto";
import { nowMs } from "../../clock/nowMs/index.js";
import { DispatchEffect } from "../../decisions/course/DispatchEffect.js";
import { DispatchEffectKind } from "../../decisions/course/DispatchEffectKind.js";
import { DispatchEvent } from "../../decisions/course/DispatchEvent.js";
import { DispatchEventKind } from "../../decisions/course/DispatchEventKind.js";
import { DispatchFailure } from "../../decisions/course/DispatchFailure.js";
import { DispatchStateMachine } from "../../decisions/course/DispatchStateMachine/index.js";
import { pickService } from "../../decisions/items/pickService/index.js";
import { RouteItem } from "../../decisions/items/RouteItem.js";
import { RouteTable } from "../../decisions/items/RouteTable/index.js";
import { QuarantineLedger } from "../../decisions/quarantine/QuarantineLedger/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { assertNever } from "../../model/assertNever/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { WorkHandle } from "../../tunnel/WorkHandle.js";
import { CallerDeskSetup } from "../CallerDeskSetup.js";
import { CallerExchange } from "../CallerExchange.js";
import { FleetView } from "../FleetView/index.js";

/** Time after which a caller is told to return when there is no configuration or the process stops, in ms. */
const SHORT_RETRY_AFTER_MS = 300;
/** Part of the requests that try an endpoint which wants a trial: one entry of many is enough. */
const TRIAL_SHARE = 0.3;
/** Endpoints that a request may crash before it is refused; two can be a coincidence where many requests share a path. */
const STRIKES_TO_QUARANTINE = 3;
/** Statuses from which on an answer is a failure. */
const FAILED_STATUS = 500;
const STATUS_NOT_FOUND = 404;
const STATUS_BAD_GATEWAY = 502;
const STATUS_REFUSED = 503;
const STATUS_TIMED_OUT = 504;
const PORT_SUFFIX = /:\d+$/;

/** A request on its way. */
interface Run {
    readonly exchange: CallerExchange;
    readonly route: RouteItem;
    readonly service: string;
    readonly course: DispatchStateMachine;
    readonly fingerprint: string;
    readonly callOfRepeatShare: number;
    readonly deadlineAtMs: number;
    readonly targetAtMs: number;
    readonly handles: Map<number, WorkHandle>;
    readonly vms: Map<number, string>;
    readonly timers: Set<NodeJS.Timeout>;
}

/** Serves the requests of callers: finds their route, has their course decided, and carries it out. */
export class CallerDesk {
    private readonly quarantine = QuarantineLedger.create(STRIKES_TO_QUARANTINE);
    private table: RouteTable | undefined;
    private offers = 0;
    private readonly runs = new Set<Run>();
    private endAtMs = Number.POSITIVE_INFINITY;
    private failedAtMs = Number.NEGATIVE_INFINITY;
    private refusesAll = false;

    private constructor(private readonly setup: CallerDeskSetup, private readonly view: FleetView, private readonly events: EventLog) {}

    /**
     * Creates a desk that has no configuration yet.
     *
     * @param setup - Names, terms and how callers are spoken to.
     * @param view - The fleet's gates.
     * @param events - Log.
     */
    static create(setup: CallerDeskSetup, view: FleetView, events: EventLog): CallerDesk {
        return new CallerDesk(setup, view, events);
    }

    /** Requests on their way. */
    get openCount(): number {
        return this.runs.size;
    }

    /** Time at which a repeatable request last failed here, in ms. */
    get lastFailedAtMs(): number {
        return this.failedAtMs;
    }

    /** Puts a configuration in force. */
    setTable(table: RouteTable): void {
        this.table = table;
    }

    /** Takes note of an endpoint that was lost while it ran a request, here or at another entry. */
    takeStrike(fingerprint: string, loss: string): void {
        this.quarantine.strike(fingerprint, loss, nowMs());
    }

    /** Takes note that a request was answered at another entry. */
    takeAcquittal(fingerprint: string): void {
        this.quarantine.acquit(fingerprint, nowMs());
    }

    /**
     * Has new requests wait no longer than they can be served before the process ends.
     *
     * @param endAtMs - Time at which the process ends.
     */
    startStopping(endAtMs: number): void {
        this.endAtMs = endAtMs;
    }

    /** Answers all callers now: with a refusal if their request has not run. */
    concludeAll(): void {
        [...this.runs].forEach((run) => this.step(run, { kind: DispatchEventKind.Stop }));
    }

    /** Refuses all requests from now on, as the process is about to end. */
    refuseAll(): void {
        this.refusesAll = true;
    }

    /** Serves a request. */
    serve(exchange: CallerExchange): void {
        const { request } = exchange;
        if (this.refusesAll) {
            this.refuse(exchange, RefusalCause.Stopping, SHORT_RETRY_AFTER_MS);
            return;
        }
        if (this.table === undefined) {
            this.refuse(exchange, RefusalCause.NoConfiguration, SHORT_RETRY_AFTER_MS);
            return;
        }
        const route = this.table.route(request.host.replace(PORT_SUFFIX, ""), request.path);
        if (route === undefined) {
            this.answerItself(exchange, STATUS_NOT_FOUND, undefined);
            return;
        }
        const service = pickService(route.services, Math.random);
        if (service === undefined) {
            this.refuse(exchange, RefusalCause.NoEndpoint, SHORT_RETRY_AFTER_MS);
            return;
        }
        const fingerprint = createHash("sha1").update(`${service} ${request.method} ${request.path} `).update(request.body).digest("base64");
        if (this.quarantine.isQuarantined(fingerprint, nowMs())) {
            this.refuse(exchange, RefusalCause.Quarantined, SHORT_RETRY_AFTER_MS);
            return;
        }
        this.begin(exchange, route, service, fingerprint);
    }

    private begin(exchange: CallerExchange, route: RouteItem, service: string, fingerprint: string): void {
        const { arrivedAtMs, patienceMs } = exchange.request;
        const deadlineAtMs = arrivedAtMs + Math.min(patienceMs ?? route.timeoutMs, route.timeoutMs);
        const targetAtMs = Math.min(arrivedAtMs + route.targetLatencyMs, this.endAtMs - this.view.serviceMs(service));
        const course = DispatchStateMachine.create(
            { requestKind: route.requestKind, maxAttempts: route.maxAttempts, deadlineAtMs, targetAtMs },
            {
                rank: (refused) => this.view.rank(service, route.requestKind, exchange.request.body.length, refused),
                shouldProbe: () => Math.random() < TRIAL_SHARE,
                serviceMs: this.view.serviceMs(service),
            },
        );
        const run: Run = {
            exchange,
            route,
            service,
            course,
            fingerprint,
            callOfRepeatShare: this.setup.callOfRepeatShare(),
            deadlineAtMs,
            targetAtMs,
            handles: new Map(),
            vms: new Map(),
            timers: new Set(),
        };
        this.runs.add(run);
        exchange.onGone(() => this.step(run, { kind: DispatchEventKind.CallerDisconnected }));
        this.arm(run, deadlineAtMs, { kind: DispatchEventKind.Deadline });
        this.step(run, { kind: DispatchEventKind.Begin });
    }

    private step(run: Run, event: DispatchEvent): void {
        if (run.course.isFinished) {
            return;
        }
        const effects = run.course.handleEvent(event, nowMs());
        this.noteFinish(run);
        effects.forEach((effect) => this.carryOut(run, effect));
    }

    private noteFinish(run: Run): void {
        if (run.course.isFinished) {
            this.runs.delete(run);
            run.timers.forEach((timer) => clearTimeout(timer));
        }
    }

    private carryOut(run: Run, effect: DispatchEffect): void {
        switch (effect.kind) {
            case DispatchEffectKind.Offer:
                this.offer(run, effect);
                return;
            case DispatchEffectKind.Cancel:
                run.handles.get(effect.attempt)?.cancel();
                return;
            case DispatchEffectKind.ScheduleHedge:
                this.arm(run, effect.atMs, { kind: DispatchEventKind.HedgeDue, attempt: effect.attempt });
                return;
            case DispatchEffectKind.Deliver:
                this.noteFailure(run, effect.answer.status >= FAILED_STATUS);
                this.deliver(run, effect);
                return;
            case DispatchEffectKind.Refuse:
                this.noteFailure(run, true);
                this.refuse(run.exchange, effect.cause, effect.retryAfterMs);
                return;
            case DispatchEffectKind.Fail:
                this.noteFailure(run, true);
                this.fail(run, effect.failure, effect.problem);
                return;
            default:
                assertNever(effect);
        }
    }

    private noteFailure(run: Run, hasFailed: boolean): void {
        if (hasFailed && run.route.requestKind === RequestKind.Repeatable) {
            this.failedAtMs = nowMs();
        }
    }

    private offer(run: Run, effect: Extract<DispatchEffect, { kind: DispatchEffectKind.Offer }>): void {
        const { attempt, vm, terms } = effect;
        const { request } = run.exchange;
        const port = this.view.port(vm);
        const atMs = nowMs();
        this.offers += 1;
        this.view.countOffer(vm);
        run.vms.set(attempt, vm);
        const handle = port?.offer({
            key: `${this.setup.entryRun}/${this.offers}`,
            requestId: request.requestId,
            service: run.service,
            callerService: this.setup.callerService(),
            endpointId: this.view.find(vm)?.endpoint?.id ?? "",
            requestKind: run.route.requestKind,
            priority: run.route.priority,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            hasBody: request.hasBody,
            remainingMs: run.deadlineAtMs - atMs,
            targetRemainingMs: run.targetAtMs - atMs,
            usualMs: Math.round(this.view.serviceMs(run.service)),
            needsGo: false,
            callOfRepeatShare: run.callOfRepeatShare,
            ...terms,
        }, (reply) => {
            if ((reply.kind === GateReplyKind.Refused || reply.kind === GateReplyKind.Answered) && reply.load !== undefined) {
                this.view.takeLoad(reply.load);
            }
            const isBusy = reply.kind === GateReplyKind.Refused && reply.cause === RefusalCause.Busy;
            if (!isBusy && (reply.kind === GateReplyKind.Refused || reply.kind === GateReplyKind.Broken)) {
                this.events.record(EventNumber.AttemptRetried, {
                    requestId: request.requestId,
                    peer: vm,
                    outcome: reply.kind,
                    cause: reply.kind === GateReplyKind.Refused ? reply.cause : reply.problem,
                });
            }
            if (reply.kind === GateReplyKind.Broken && reply.lostEndpoint) {
                this.strike(run, vm);
            }
            this.step(run, { kind: DispatchEventKind.Reply, attempt, reply });
        });
        if (handle !== undefined && !run.course.isFinished) {
            run.handles.set(attempt, handle);
        }
    }

    private strike(run: Run, vm: string): void {
        const loss = `${vm}/${Math.round(nowMs())}`;
        this.events.record(EventNumber.RequestStruck, { requestId: run.exchange.request.requestId, peer: vm, fingerprint: run.fingerprint });
        this.takeStrike(run.fingerprint, loss);
        this.setup.onStrike(run.fingerprint, loss);
    }

    private deliver(run: Run, { answer, attempt }: Extract<DispatchEffect, { kind: DispatchEffectKind.Deliver }>): void {
        const { exchange } = run;
        if (!this.setup.dialect.isGenuine(answer.status, answer.headers)) {
            this.fail(run, DispatchFailure.OutcomeUnknown, "the answer is not an endpoint's own");
            return;
        }
        if (this.quarantine.acquit(run.fingerprint, nowMs())) {
            this.setup.onAcquittal(run.fingerprint);
        }
        this.events.record(EventNumber.RequestAnswered, {
            requestId: exchange.request.requestId,
            service: run.service,
            status: answer.status,
            peer: run.vms.get(attempt),
            offers: run.course.offerCount,
            arrivals: run.course.arrivalCount,
            tookMs: Math.round(nowMs() - exchange.request.arrivedAtMs),
        });
        exchange.answer(answer);
    }

    private fail(run: Run, failure: DispatchFailure, problem: string): void {
        const { exchange } = run;
        this.events.record(EventNumber.RequestFailed, {
            requestId: exchange.request.requestId,
            service: run.service,
            failure,
            problem,
            peers: [...run.vms.values()],
            offers: run.course.offerCount,
            arrivals: run.course.arrivalCount,
            tookMs: Math.round(nowMs() - exchange.request.arrivedAtMs),
        });
        this.answerItself(exchange, failure === DispatchFailure.TimedOut ? STATUS_TIMED_OUT : STATUS_BAD_GATEWAY, undefined);
    }

    private refuse(exchange: CallerExchange, cause: RefusalCause, retryAfterMs: number): void {
        const { requestId, arrivedAtMs } = exchange.request;
        this.events.record(EventNumber.RequestRefused, { requestId, cause, retryAfterMs, tookMs: Math.round(nowMs() - arrivedAtMs) });
        this.answerItself(exchange, STATUS_REFUSED, retryAfterMs);
    }

    private answerItself(exchange: CallerExchange, status: number, retryAfterMs: number | undefined): void {
        exchange.answer({
            status,
            headers: this.setup.dialect.ownAnswerHeaders(exchange.request.requestId, retryAfterMs),
            body: Buffer.alloc(0),
        });
    }

    private arm(run: Run, atMs: number, event: DispatchEvent): void {
        const timer = setTimeout(() => {
            run.timers.delete(timer);
            this.step(run, event);
        }, Math.max(0, atMs - nowMs()));
        run.timers.add(timer);
    }
}
