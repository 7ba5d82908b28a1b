import { BackendExchange } from "../../backend/BackendExchange.js";
import { BackendPool } from "../../backend/BackendPool/index.js";
import { BackendResult } from "../../backend/BackendResult.js";
import { BackendResultKind } from "../../backend/BackendResultKind.js";
import { alignedDelayMs } from "../../clock/alignedDelayMs/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { FleetRetryBudget } from "../../decisions/requests/FleetRetryBudget/index.js";
import { AdmissionKind } from "../../decisions/serving/AdmissionKind.js";
import { isBlockedByGrade } from "../../decisions/serving/isBlockedByGrade/index.js";
import { ServingQueue } from "../../decisions/serving/ServingQueue/index.js";
import { ServingRequest } from "../../decisions/serving/ServingRequest.js";
import { ObservedOutcome } from "../../decisions/suspicion/ObservedOutcome.js";
import { OutlierDetector } from "../../decisions/suspicion/OutlierDetector/index.js";
import { ProbeScheduler } from "../../decisions/suspicion/ProbeScheduler/index.js";
import { isServerLost } from "../../http/isServerLost/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { assertNever } from "../../model/assertNever/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { GateReply } from "../../tunnel/GateReply.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { WorkHandle } from "../../tunnel/WorkHandle.js";
import { WorkOffer } from "../../tunnel/WorkOffer.js";
import { WorkPort } from "../../tunnel/WorkPort.js";
import { ServingGateSetup } from "../ServingGateSetup.js";

/** Time between two looks at the work, in ms; nothing is looked at while there is none. */
const TICK_MS = 100;
/** Time between two looks at idle connections, in ms. */
const TIDY_MS = 2_000;
/** Statuses from which on an answer is a failure of the endpoint. */
const FAILED_STATUS = 500;
/** Status of an endpoint that stopped at the deadline it was given. */
const STATUS_DEADLINE = 504;
/** Status of an endpoint that is not the one that was meant. */
const STATUS_MISDIRECTED = 421;
/** A request that runs for this multiple of the mean service time counts as hung. */
const HANG_FACTOR = 4;
/** Shortest time after which a request counts as hung, in ms. */
const MIN_HANG_MS = 1_500;
/** Multiple of the mean service time that was ample: an endpoint that ran into the deadline of such a request is to blame. */
const AMPLE_FACTOR = 2.5;
/** Weight of the latest request in the share that the endpoint turns away. */
const SHED_WEIGHT = 0.1;
/** Time for which a granted slot is held for the entry's word, in ms: several round trips. */
const GO_MS = 300;
/** Time without work after which an endpoint asks for some, in ms: with the age of reports, within the 2 s of the floor. */
const IDLE_MS = 500;
/** Time kept back from the deadline that an endpoint is given, for the way back, in ms. */
const RETURN_MS = 10;
/** Time after its deadline at which work is broken off whose entry has not done so, in ms. */
const ABANDON_MS = 500;

/** Handle of an offer that was refused at once. */
const ENDED: WorkHandle = { cancel: () => undefined, go: () => undefined };

interface Running {
    readonly offer: WorkOffer;
    readonly deadlineAtMs: number;
    readonly onReply: (reply: GateReply) => void;
    grantedAtMs: number;
    startedAtMs: number;
    exchange: BackendExchange | undefined;
    isHung: boolean;
}

/** The gate beside one endpoint: all work for it passes here, and what has not been handed to it has not run. */
export class ServingGate implements WorkPort {
    private readonly queue = ServingQueue.create(1);
    private readonly work = new Map<string, Running>();
    private readonly pool: BackendPool;
    private tickTimer: NodeJS.Timeout | undefined;
    private readonly tidyTimer: NodeJS.Timeout;
    private test = OutlierDetector.create();
    private budget: FleetRetryBudget;
    private shedShare = 0;
    private endpoint: EndpointReport | undefined;
    private lastGrade = Grade.Trusted;
    private isStopping = false;

    private constructor(private readonly setup: ServingGateSetup) {
        this.pool = BackendPool.create(setup.backendAddress, setup.dialect);
        this.budget = FleetRetryBudget.create(setup.retryTerms);
        this.tidyTimer = setInterval(() => this.pool.tidy(), TIDY_MS);
    }

    /** Creates the gate of an endpoint that is not known yet. */
    static create(setup: ServingGateSetup): ServingGate {
        return new ServingGate(setup);
    }

    /** Current load. */
    get load(): GateLoadReport {
        const atMs = nowMs();
        const grade = this.test.grade(atMs);
        return {
            vm: this.setup.vm,
            running: this.queue.runningCount,
            queued: this.queue.waitingCount,
            slots: this.queue.slots,
            serviceMs: this.queue.measuredServiceMs === undefined ? undefined : Math.round(this.queue.measuredServiceMs),
            grade,
            suspicion: Math.round(this.test.scoreAt(atMs) * 10) / 10,
            trialWish: this.queue.probeDemand(grade, atMs),
            shedShare: Math.round(this.shedShare * 10) / 10,
            isIdle: grade === Grade.Trusted && this.queue.hasBeenIdleFor(IDLE_MS, atMs),
        };
    }

    /** Share of the running requests that are repeats or calls of repeats; calls that the endpoint makes now may be theirs. */
    get repeatShare(): number {
        const started = [...this.work.values()].filter(({ startedAtMs }) => startedAtMs > 0);
        const repeats = started.reduce((sum, { offer }) => sum + (offer.isRepeat ? 1 : offer.callOfRepeatShare), 0);
        return started.length === 0 ? 0 : repeats / started.length;
    }

    /** Requests that run or wait. */
    get workCount(): number {
        return this.work.size;
    }

    /** Connections opened to the endpoint since the start. */
    get openedConnections(): number {
        return this.pool.openedCount;
    }

    /** Takes what the endpoint says of itself; work is refused from the moment at which it is not ready. */
    setEndpoint(endpoint: EndpointReport): void {
        const isNewRun = this.endpoint?.id !== endpoint.id || this.endpoint.bornAtMs !== endpoint.bornAtMs;
        if (this.endpoint !== undefined && this.endpoint.service !== endpoint.service) {
            this.budget = FleetRetryBudget.create(this.setup.retryTerms);
        }
        if (isNewRun) {
            this.test = OutlierDetector.create();
            this.shedShare = 0;
            this.queue.setProbeScheduler(ProbeScheduler.create());
            this.pool.tidy();
        }
        this.endpoint = endpoint;
        this.queue.setSlots(endpoint.slots);
        if (endpoint.phase !== EndpointPhase.Ready || isNewRun) {
            this.queue.removeAllWaiting().forEach(({ key }) => this.refuse(key, RefusalCause.NotServing, 0, false));
        }
        this.startNext();
    }

    /** Refuses new work from now on; what runs goes on. */
    stop(): void {
        this.isStopping = true;
        this.queue.removeAllWaiting().forEach(({ key }) => this.refuse(key, RefusalCause.Stopping, 0, false));
    }

    /** Stops the timers and breaks off what runs. */
    close(): void {
        clearTimeout(this.tickTimer);
        this.tickTimer = undefined;
        clearInterval(this.tidyTimer);
        this.pool.close();
    }

    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): WorkHandle {
        const atMs = nowMs();
        const cause = this.findRefusal(offer);
        if (cause !== undefined) {
            onReply(this.refusal(cause, 0, false));
            return ENDED;
        }
        const deadlineAtMs = atMs + offer.remainingMs;
        if (offer.isRepeat && !this.budget.allowsRepeat(this.setup.countGates(), atMs)) {
            onReply(this.refusal(RefusalCause.RetryBudget, 0, false));
            return ENDED;
        }
        const admission = this.queue.admit(servingRequest(offer, atMs), this.test.grade(atMs), atMs);
        if (offer.isRepeat && admission.kind !== AdmissionKind.Refuse) {
            this.budget.countRepeat(atMs);
        }
        switch (admission.kind) {
            case AdmissionKind.Refuse:
                onReply(this.refusal(admission.cause, admission.retryAfterMs, false));
                return ENDED;
            case AdmissionKind.Queue:
                this.work.set(offer.key, { offer, deadlineAtMs, onReply, grantedAtMs: 0, startedAtMs: 0, exchange: undefined, isHung: false });
                onReply({ kind: GateReplyKind.Queued });
                this.startNext();
                break;
            case AdmissionKind.Start:
                this.work.set(offer.key, { offer, deadlineAtMs, onReply, grantedAtMs: 0, startedAtMs: 0, exchange: undefined, isHung: false });
                this.grant(offer.key);
                break;
            default:
                assertNever(admission);
        }
        this.armTick();
        this.setup.onLoad(false);
        return { cancel: () => this.cancel(offer.key), go: () => this.go(offer.key) };
    }

    private findRefusal(offer: WorkOffer): RefusalCause | undefined {
        if (this.isStopping) {
            return RefusalCause.Stopping;
        }
        if (this.endpoint?.phase !== EndpointPhase.Ready) {
            return RefusalCause.NotServing;
        }
        const isOther = this.endpoint.service !== offer.service || (offer.endpointId !== "" && offer.endpointId !== this.endpoint.id);
        return isOther ? RefusalCause.OtherEndpoint : undefined;
    }

    /** Gives an offer a slot: work of this process starts at once, other work when its entry says so. */
    private grant(key: string): void {
        const running = this.work.get(key);
        if (running === undefined) {
            this.queue.finish(key, nowMs(), false);
            return;
        }
        if (this.isBarred(running)) {
            this.giveBack(key);
            return;
        }
        running.grantedAtMs = nowMs();
        if (running.offer.needsGo) {
            running.onReply({ kind: GateReplyKind.Granted });
        }
        else {
            this.start(key, running);
        }
    }

    private go(key: string): void {
        const running = this.work.get(key);
        if (running === undefined || running.grantedAtMs === 0 || running.startedAtMs > 0) {
            return;
        }
        if (this.isBarred(running)) {
            this.giveBack(key);
            this.startNext();
            return;
        }
        this.start(key, running);
    }

    /** True if the endpoint has lost its trust since the request was let in. */
    private isBarred({ offer }: Running): boolean {
        return !offer.isTrial && !offer.isLastResort && isBlockedByGrade(this.test.grade(nowMs()), offer);
    }

    private giveBack(key: string): void {
        this.queue.finish(key, nowMs(), false);
        this.refuse(key, RefusalCause.Untrusted, 0, false);
    }

    private start(key: string, running: Running): void {
        const { offer } = running;
        const endpointId = this.endpoint?.id ?? "";
        running.startedAtMs = nowMs();
        if (!offer.isRepeat) {
            this.budget.countRequest(offer.callOfRepeatShare, running.startedAtMs);
        }
        const remainingMs = Math.max(1, Math.round(running.deadlineAtMs - running.startedAtMs - RETURN_MS));
        running.exchange = this.pool.send({
            method: offer.method,
            path: offer.path,
            headers: this.setup.dialect.requestHeaders({ ...offer, endpointId }, remainingMs),
            body: offer.body,
            hasBody: offer.hasBody,
            requestId: offer.requestId,
        }, offer.requestKind === RequestKind.Once);
        running.onReply({ kind: GateReplyKind.Started });
        void running.exchange.result.then((result) => this.finish(key, running, result));
    }

    private finish(key: string, running: Running, result: BackendResult): void {
        if (this.work.get(key) !== running) {
            return;
        }
        this.work.delete(key);
        const atMs = nowMs();
        this.queue.finish(key, atMs, result.kind === BackendResultKind.Answered && result.answer.status < FAILED_STATUS);
        const reply = this.judge(running, result, atMs);
        this.noteGrade(atMs);
        this.startNext();
        if (reply.kind === GateReplyKind.Broken && reply.lostEndpoint) {
            void this.confirmLoss(running, reply);
        }
        else {
            running.onReply(reply);
        }
        this.setup.onLoad(false);
    }

    /** An endpoint that broke a connection off has crashed only if it takes no other connection either. */
    private async confirmLoss(running: Running, reply: Extract<GateReply, { kind: GateReplyKind.Broken }>): Promise<void> {
        running.onReply({ ...reply, lostEndpoint: await isServerLost(this.setup.backendAddress) });
    }

    private judge({ offer, startedAtMs }: Running, result: BackendResult, atMs: number): GateReply {
        switch (result.kind) {
            case BackendResultKind.NotConnected:
                this.test.observe(ObservedOutcome.Failure, atMs, startedAtMs);
                return this.refusal(RefusalCause.Unreachable, 0, false);
            case BackendResultKind.Broken:
                this.test.observe(ObservedOutcome.Failure, atMs, startedAtMs);
                this.setup.events.record(EventNumber.BackendBroken, {
                    requestId: offer.requestId,
                    problem: result.problem,
                    reused: result.wasReused,
                });
                return { kind: GateReplyKind.Broken, problem: result.problem, lostEndpoint: !result.hadAnswerBytes };
            case BackendResultKind.Answered: {
                const { status, headers } = result.answer;
                if (this.setup.dialect.saysNotRun(status, headers)) {
                    const isOther = status === STATUS_MISDIRECTED;
                    this.noteShed(!isOther);
                    return this.refusal(isOther ? RefusalCause.OtherEndpoint : RefusalCause.Shed, 0, true);
                }
                this.noteShed(false);
                this.observeStatus(status, startedAtMs, atMs);
                return { kind: GateReplyKind.Answered, answer: result.answer, load: this.load };
            }
        }
    }

    /** A failure is no evidence against the endpoint if calls that began on this VM have failed while it ran. */
    private observeStatus(status: number, startedAtMs: number, atMs: number): void {
        if (status < FAILED_STATUS) {
            this.test.observe(ObservedOutcome.Success, atMs, startedAtMs);
        }
        else if (status === STATUS_DEADLINE && atMs - startedAtMs < AMPLE_FACTOR * this.queue.serviceMs) {
            return;
        }
        else if (!this.setup.hasFailedCallSince(startedAtMs)) {
            this.test.observe(ObservedOutcome.Failure, atMs, startedAtMs);
        }
    }

    private noteShed(isShed: boolean): void {
        this.shedShare += SHED_WEIGHT * ((isShed ? 1 : 0) - this.shedShare);
    }

    private cancel(key: string): void {
        const running = this.work.get(key);
        if (running === undefined) {
            return;
        }
        this.work.delete(key);
        if (this.queue.removeWaiting(key)) {
            return;
        }
        running.exchange?.cancel();
        this.queue.finish(key, nowMs(), false);
        this.startNext();
        this.setup.onLoad(false);
    }

    private refuse(key: string, cause: RefusalCause, retryAfterMs: number, reachedEndpoint: boolean): void {
        const waiting = this.work.get(key);
        this.work.delete(key);
        waiting?.onReply(this.refusal(cause, retryAfterMs, reachedEndpoint));
    }

    private refusal(cause: RefusalCause, retryAfterMs: number, reachedEndpoint: boolean): GateReply {
        return { kind: GateReplyKind.Refused, cause, retryAfterMs, reachedEndpoint, load: this.load };
    }

    private tick(): void {
        const atMs = nowMs();
        this.queue.removeOverdue(atMs).forEach(({ key }) => this.refuse(key, RefusalCause.Busy, Math.round(this.queue.serviceMs), false));
        const hungAfterMs = Math.max(MIN_HANG_MS, HANG_FACTOR * this.queue.serviceMs);
        this.work.forEach((running) => {
            if (running.startedAtMs > 0 && atMs > running.deadlineAtMs + ABANDON_MS) {
                running.exchange?.cancel();
            }
            if (!running.isHung && running.startedAtMs > 0 && atMs - running.startedAtMs > hungAfterMs) {
                running.isHung = true;
                this.test.observe(ObservedOutcome.Failure, atMs, running.startedAtMs);
                this.noteGrade(atMs);
            }
        });
        this.dropUnclaimed(atMs);
        this.startNext();
    }

    /** Takes slots back that were granted to entries which did not claim them. */
    private dropUnclaimed(atMs: number): void {
        const isUnclaimed = ({ grantedAtMs, startedAtMs }: Running): boolean =>
            grantedAtMs > 0 && startedAtMs === 0 && atMs - grantedAtMs > GO_MS;
        [...this.work].filter(([, running]) => isUnclaimed(running)).forEach(([key]) => {
            this.queue.finish(key, atMs, false);
            this.refuse(key, RefusalCause.Voided, 0, false);
        });
    }

    private armTick(): void {
        this.tickTimer ??= setTimeout(() => {
            this.tickTimer = undefined;
            this.tick();
            if (this.work.size > 0) {
                this.armTick();
            }
        }, alignedDelayMs(nowMs(), TICK_MS));
    }

    private startNext(): void {
        if (this.endpoint?.phase === EndpointPhase.Ready && !this.isStopping) {
            this.queue.startNext(nowMs()).forEach(({ key }) => this.grant(key));
        }
    }

    private noteGrade(atMs: number): void {
        const grade = this.test.grade(atMs);
        if (grade !== this.lastGrade) {
            this.setup.events.record(EventNumber.EndpointGraded, {
                endpoint: this.endpoint?.id,
                service: this.endpoint?.service,
                from: Grade[this.lastGrade],
                to: Grade[grade],
            });
            this.lastGrade = grade;
            this.setup.onLoad(true);
        }
        if (grade !== Grade.Trusted) {
            this.queue.removeBlocked(grade).forEach(({ key }) => this.refuse(key, RefusalCause.Untrusted, 0, false));
        }
    }
}

function servingRequest(offer: WorkOffer, atMs: number): ServingRequest {
    return {
        key: offer.key,
        requestKind: offer.requestKind,
        priority: offer.priority,
        deadlineAtMs: atMs + offer.remainingMs,
        targetAtMs: atMs + offer.targetRemainingMs,
        maxQueueMs: offer.maxQueueMs,
        isTrial: offer.isTrial,
        isLastResort: offer.isLastResort,
    };
}
