import { BackendExchange } from "../../backend/BackendExchange.js";
import { CreditedBody } from "../../backend/CreditedBody/index.js";
import { BackendResult } from "../../backend/BackendResult.js";
import { BackendResultKind } from "../../backend/BackendResultKind.js";
import { alignedDelayMs } from "../../clock/alignedDelayMs/index.js";
import { MAX_TIMER_MS } from "../../clock/maxTimerMs.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { EndpointRun } from "../../decisions/fleet/EndpointRun.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { isSameRun } from "../../decisions/fleet/isSameRun/index.js";
import { BodyBytesLimit } from "../../decisions/limits/BodyBytesLimit/index.js";
import { SendReason } from "../../decisions/limits/SendReason.js";
import { FleetRetryBudget } from "../../decisions/requests/FleetRetryBudget/index.js";
import { AdmissionKind } from "../../decisions/serving/AdmissionKind.js";
import { ConcurrencyLimit } from "../../decisions/serving/ConcurrencyLimit/index.js";
import { DisplacementCause } from "../../decisions/serving/DisplacementCause.js";
import { isBlockedByGrade } from "../../decisions/serving/isBlockedByGrade/index.js";
import { ServingQueue } from "../../decisions/serving/ServingQueue/index.js";
import { ServingRequest } from "../../decisions/serving/ServingRequest.js";
import { ObservedOutcome } from "../../decisions/outliers/ObservedOutcome.js";
import { OutlierDetector } from "../../decisions/outliers/OutlierDetector/index.js";
import { ProbeDemand } from "../../decisions/outliers/ProbeDemand.js";
import { isServerDown } from "../../http/isServerDown/index.js";
import { BudgetLog } from "../../logs/BudgetLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { assertNever } from "../../model/assertNever/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { toError } from "../../model/toError/index.js";
import { GateReply } from "../../tunnel/GateReply.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { Invitation } from "../../tunnel/Invitation.js";
import { OfferHandle } from "../../tunnel/OfferHandle.js";
import { bodyBytesOf } from "../../tunnel/bodyBytesOf/index.js";
import { MIN_LINK_BYTES_PER_MS } from "../../tunnel/minLinkRate.js";
import { WorkOffer } from "../../tunnel/WorkOffer.js";
import { GatePort } from "../../tunnel/GatePort.js";
import { EndpointStatements } from "../EndpointStatements/index.js";
import { ServingGateOptions } from "../ServingGateOptions.js";

/** Interval at which accepted offers are checked for timeouts while there are any, in ms. */
const TICK_INTERVAL_MS = 100;
/** Time after which a tick is so late that this process was paused, in ms; responses have not been read meanwhile. */
const MIN_PAUSE_MS = 500;
/** Interval at which unusable connections are closed, in ms. */
const CLEANUP_INTERVAL_MS = 2_000;
/** Time within which a healthy endpoint must get a request, in ms. */
const STARVATION_LIMIT_MS = 2_000;
/** Lowest status code that counts as a failure of the endpoint. */
const MIN_FAILED_STATUS = 500;
/** Status of an endpoint that stopped at the deadline of the request. */
const STATUS_GATEWAY_TIMEOUT = 504;
/** Status of an endpoint that is not the intended one. */
const STATUS_MISDIRECTED_REQUEST = 421;
/** Multiple of the mean service time after which a running request counts as hung. */
const HANG_FACTOR = 4;
/** Minimum time after which a running request counts as hung, in ms. */
const MIN_HANG_MS = 1_500;
/** Multiple of the mean service time that is ample for a request: missing a deadline after that long is a failure of the endpoint. */
const AMPLE_TIME_FACTOR = 2.5;
/** Multiple of the usual time of a request that a stopping process must have left to accept it; few requests take longer. */
const STOP_TIME_FACTOR = 2;
/** Weight of the latest request in the moving average of the share of shed requests. */
const SHED_WEIGHT = 0.1;
/** Time for which a granted slot is reserved until the entry confirms it, in ms: several round trips. */
const CONFIRM_TIMEOUT_MS = 300;
/**
 * Time without requests after which an endpoint is reported as idle, in ms. Together with the age of load reports, it ensures
 * that a healthy endpoint gets a request within 2 s.
 */
const MIN_IDLE_MS = 500;
/** Margin for returning the response by which the deadline passed to the endpoint is earlier, in ms. */
const RETURN_MARGIN_MS = 10;
/** Time after its deadline at which a running request is cancelled if its entry has not done so, in ms. */
const ABANDON_DELAY_MS = 500;

/**
 * Time for which a response waits for its reader after which its slot is free, in ms: the endpoint has done its work, and a few
 * slow readers would otherwise take all slots.
 */
const STALLED_RESPONSE_MS = 300;
/**
 * Maximum size of a response to an entry of an earlier version, which takes it whole, in bytes: three times that of the largest
 * ones of current services. Responses of 16 MB to entries that did not read took 316 MB.
 */
const MAX_WHOLE_BODY_BYTES = 2 * 1_024 * 1_024;
/** Maximum number of responses that are passed on at the same time; each takes a connection to the endpoint. */
const MAX_OPEN_RESPONSES = 256;

const EMPTY = Buffer.alloc(0);

/** Handle of an offer that was refused immediately. */
const FINISHED_HANDLE: OfferHandle = { cancel: () => undefined, confirm: () => undefined };

/** An offer as it may come from an entry of another version. */
type ReceivedOffer = Omit<WorkOffer, "organisation" | "organisationPriority"> & Partial<WorkOffer>;

interface AcceptedOffer {
    readonly offer: WorkOffer;
    /** Body of the request; undefined until the confirmation brings it. */
    body: Buffer | undefined;
    readonly deadlineAtMs: number;
    readonly onReply: (reply: GateReply) => void;
    grantedAtMs: number;
    startedAtMs: number;
    /** Share of the slots in use when it started, its own included. */
    busyShare: number;
    /** Run of the endpoint that the request was sent to. */
    run: EndpointRun | undefined;
    exchange: BackendExchange | undefined;
    isHung: boolean;
}

/** Response that is passed on while it is received. */
interface OpenResponse {
    readonly stream: CreditedBody;
    /** Time at which its head had come, in ms. */
    readonly headAtMs: number;
    readonly isSuccess: boolean;
    hasSlot: boolean;
}

/**
 * Gate beside one endpoint, through which all its requests pass: a request that the gate has not sent to the endpoint has
 * not been executed. Decides on admission, queueing and load shedding, limits retries, and ejects a failing endpoint.
 */
export class ServingGate implements GatePort {
    private readonly queue = ServingQueue.create(1);
    private readonly acceptedOffers = new Map<string, AcceptedOffer>();
    private readonly openResponses = new Map<string, OpenResponse>();
    private tickTimer: NodeJS.Timeout | undefined;
    /** End of the latest pause of this process while requests were running. */
    private resumedAtMs = Number.NEGATIVE_INFINITY;
    private limitTimer: NodeJS.Timeout | undefined;
    private readonly cleanupTimer: NodeJS.Timeout;
    private outlierDetector = OutlierDetector.create();
    private readonly statements: EndpointStatements;
    private readonly budgetLog: BudgetLog;
    private retryBudget: FleetRetryBudget;
    /** Bytes of request bodies that the endpoint holds or will hold; kept over runs of the endpoint, which have the same memory. */
    private readonly bodyLimit = BodyBytesLimit.create();
    private concurrencyLimit = ConcurrencyLimit.create();
    private shedShare = 0;
    private endpoint: EndpointReport | undefined;
    private lastGrade = Grade.Trusted;
    private isStopping = false;
    private stopAtMs = Number.POSITIVE_INFINITY;

    private constructor(private readonly options: ServingGateOptions) {
        this.retryBudget = FleetRetryBudget.create(options.retryBudgetLimits);
        this.statements = EndpointStatements.create(options);
        this.budgetLog = BudgetLog.create(options.events);
        this.cleanupTimer = setInterval(() => this.options.backend.closeUnusable(), CLEANUP_INTERVAL_MS);
    }

    /** Creates a gate without an endpoint, which refuses all offers. */
    static create(options: ServingGateOptions): ServingGate {
        return new ServingGate(options);
    }

    /** Current load of the gate. */
    get load(): GateLoadReport {
        const atMs = nowMs();
        const grade = this.outlierDetector.grade(atMs);
        return {
            vm: this.options.vm,
            running: this.queue.runningCount,
            queued: this.queue.waitingCount,
            slots: this.queue.usableSlots,
            limitWaitMs: this.limitPerSecond === undefined ? undefined : this.queue.limitWaitMs(atMs),
            serviceMs: this.queue.measuredServiceMs === undefined ? undefined : Math.round(this.queue.measuredServiceMs),
            grade,
            suspicion: Math.round(this.outlierDetector.scoreAt(atMs) * 10) / 10,
            trialWish: this.queue.probeDemand(grade, atMs),
            shedShare: Math.round(this.shedShare * 10) / 10,
            isIdle: grade === Grade.Trusted && this.queue.hasBeenIdleFor(MIN_IDLE_MS, atMs),
        };
    }

    /** Invitation to entries to send a request, or undefined if the endpoint has had one lately or accepts none. */
    get invitation(): Invitation | undefined {
        const { load } = this;
        const waitedMs = this.queue.sinceLastRequestMs(nowMs());
        const isServing = this.endpoint?.phase === EndpointPhase.Ready && !this.isStopping;
        return isServing && waitedMs >= MIN_IDLE_MS && load.trialWish !== ProbeDemand.None ? { load, waitedMs } : undefined;
    }

    /** Share of running requests that are retries, or calls made by retries. Estimates the same share for calls of the endpoint. */
    get repeatShare(): number {
        const started = [...this.acceptedOffers.values()].filter(({ startedAtMs }) => startedAtMs > 0);
        const repeats = started.reduce((sum, { offer }) => sum + (offer.isRepeat ? 1 : offer.callOfRepeatShare), 0);
        return started.length === 0 ? 0 : repeats / started.length;
    }

    /** Number of running and queued requests, and of responses that are passed on. */
    get offerCount(): number {
        return this.acceptedOffers.size + this.openResponses.size;
    }

    /** Number of connections opened to the endpoint since the start. */
    get openedConnections(): number {
        return this.options.backend.openedCount;
    }

    /** Bytes of the bodies of requests that the endpoint has not answered. */
    get requestBytes(): number {
        return this.options.backend.requestBytes;
    }

    /** Bytes of request bodies that wait for the endpoint or are there. */
    get bodyBytes(): number {
        return this.bodyLimit.heldBytes;
    }

    /** Bytes of request bodies that the endpoint may hold. */
    get bodyBudgetBytes(): number {
        return this.bodyLimit.budgetBytes(nowMs());
    }

    /** Bytes of incomplete responses that are held. */
    get responseBufferBytes(): number {
        return this.options.backend.bufferedBytes;
    }

    /** Sets the latest report of the endpoint. Offers are refused while the endpoint is not ready. */
    setEndpoint(endpoint: EndpointReport): void {
        const isNewRun = this.endpoint === undefined || !isSameRun(this.endpoint, endpoint);
        if (this.endpoint !== undefined && this.endpoint.service !== endpoint.service) {
            this.retryBudget = FleetRetryBudget.create(this.options.retryBudgetLimits);
        }
        this.statements.setEndpoint(endpoint);
        if (isNewRun) {
            this.outlierDetector = OutlierDetector.create();
            this.shedShare = 0;
            this.concurrencyLimit = ConcurrencyLimit.create();
            this.queue.resetEndpoint(this.statements.limiter);
            this.options.backend.closeUnusable();
        }
        this.endpoint = endpoint;
        this.updateSlots(nowMs());
        if (endpoint.phase !== EndpointPhase.Ready || isNewRun) {
            this.refuseAllWaiting(RefusalCause.NotServing);
        }
        this.startNext();
    }

    /**
     * Restores the limit that an earlier run of this proxy knew, until the endpoint's next response.
     *
     * @param run - Run of the endpoint that named the limit.
     * @param perSecond - The limit.
     */
    restoreLimit(run: EndpointRun, perSecond: number): void {
        this.statements.restoreLimit(run, perSecond);
    }

    /** Requests per second that the endpoint accepts, or undefined if it names no limit. */
    get limitPerSecond(): number | undefined {
        return this.statements.limiter.perSecond;
    }

    /**
     * Refuses queued offers, and from now on those that must not be repeated, since the stop may cut them off, and those that are not expected to
     * finish in time.
     *
     * @param stopAtMs - Time at which the process stops.
     */
    startStopping(stopAtMs: number): void {
        this.stopAtMs = stopAtMs;
        this.refuseAllWaiting(RefusalCause.Stopping);
    }

    /** Refuses queued and new offers from now on. Running requests continue. */
    stop(): void {
        this.isStopping = true;
        this.refuseAllWaiting(RefusalCause.Stopping);
    }

    /** Stops the timers and cancels running requests. */
    close(): void {
        clearTimeout(this.tickTimer);
        this.tickTimer = undefined;
        clearTimeout(this.limitTimer);
        clearInterval(this.cleanupTimer);
        this.options.backend.close();
    }

    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): OfferHandle {
        const atMs = nowMs();
        const cause = this.findRefusalCause(offer);
        if (cause !== undefined) {
            onReply(this.createRefusal(cause, 0, false));
            return FINISHED_HANDLE;
        }
        if (offer.limitPerSecond !== undefined) {
            this.statements.adoptLimit(offer.limitPerSecond, atMs);
        }
        const deadlineAtMs = atMs + offer.remainingMs;
        if (offer.isRepeat && !this.retryBudget.canRepeat(this.options.countGates(), atMs)) {
            onReply(this.createRefusal(RefusalCause.RetryBudget, 0, false));
            return FINISHED_HANDLE;
        }
        if (!this.bodyLimit.admits(bodyBytesOf(offer), atMs)) {
            this.budgetLog.recordRefusal("request bodies at the endpoint", this.bodyLimit.heldBytes, this.bodyLimit.budgetBytes(atMs));
            onReply(this.createRefusal(RefusalCause.Busy, Math.round(this.queue.serviceMs), false));
            return FINISHED_HANDLE;
        }
        const grade = this.outlierDetector.grade(atMs);
        const sinceLastRequestMs = this.queue.sinceLastRequestMs(atMs);
        const admission = this.queue.admit(toServingRequest(offer, atMs), grade, atMs);
        if (admission.kind !== AdmissionKind.Refuse) {
            this.recordStarvation(sinceLastRequestMs, grade);
            this.bodyLimit.recordStart(bodyBytesOf(offer));
        }
        if (offer.isRepeat && admission.kind !== AdmissionKind.Refuse) {
            this.retryBudget.countRepeat(atMs);
        }
        switch (admission.kind) {
            case AdmissionKind.Refuse:
                if (admission.cause === RefusalCause.Busy && this.queue.isFull) {
                    this.budgetLog.recordRefusal("requests that wait at a gate", this.queue.waitingCount, this.queue.maxWaiting);
                }
                onReply(this.createRefusal(admission.cause, admission.retryAfterMs, false));
                return FINISHED_HANDLE;
            case AdmissionKind.Queue:
                this.acceptedOffers.set(offer.key, {
                    offer,
                    body: offer.deferredBodyBytes === undefined ? offer.body : undefined,
                    deadlineAtMs,
                    onReply,
                    grantedAtMs: 0,
                    startedAtMs: 0,
                    busyShare: 0,
                    run: undefined,
                    exchange: undefined,
                    isHung: false,
                });
                onReply({ kind: GateReplyKind.Queued });
                this.startNext();
                this.refuseDisplaced(atMs);
                break;
            case AdmissionKind.Start:
                this.acceptedOffers.set(offer.key, {
                    offer,
                    body: offer.deferredBodyBytes === undefined ? offer.body : undefined,
                    deadlineAtMs,
                    onReply,
                    grantedAtMs: 0,
                    startedAtMs: 0,
                    busyShare: 0,
                    run: undefined,
                    exchange: undefined,
                    isHung: false,
                });
                this.grant(offer.key);
                break;
            default:
                assertNever(admission);
        }
        this.scheduleTick();
        this.options.onLoadChange(false);
        return { cancel: () => this.cancel(offer.key), confirm: (body) => this.confirm(offer.key, body) };
    }

    /** Records that a request ends a time without any that was too long. */
    private recordStarvation(sinceLastRequestMs: number, grade: Grade): void {
        if (Number.isFinite(sinceLastRequestMs) && sinceLastRequestMs > STARVATION_LIMIT_MS) {
            this.options.events.record(EventNumber.EndpointStarved, {
                endpoint: this.endpoint?.id,
                service: this.endpoint?.service,
                forMs: Math.round(sinceLastRequestMs),
                grade: Grade[grade],
                running: this.queue.runningCount,
            });
        }
    }

    private findRefusalCause(offer: WorkOffer): RefusalCause | undefined {
        const isAtRisk = offer.requestKind === RequestKind.Once || nowMs() + STOP_TIME_FACTOR * offer.usualMs > this.stopAtMs;
        if (this.isStopping || (Number.isFinite(this.stopAtMs) && isAtRisk)) {
            return RefusalCause.Stopping;
        }
        if (this.endpoint?.phase !== EndpointPhase.Ready) {
            return RefusalCause.NotServing;
        }
        const isOtherEndpoint = this.endpoint.service !== offer.service || (offer.endpointId !== "" && offer.endpointId !== this.endpoint.id);
        return isOtherEndpoint ? RefusalCause.OtherEndpoint : undefined;
    }

    /** Grants an offer a slot. Offers of this process start immediately, others once their entry confirms them. */
    private grant(key: string): void {
        const accepted = this.acceptedOffers.get(key);
        if (accepted === undefined) {
            this.queue.release(key);
            return;
        }
        if (this.isBlocked(accepted)) {
            this.refuseGranted(key, RefusalCause.Untrusted);
            return;
        }
        accepted.grantedAtMs = nowMs();
        if (accepted.offer.needsGo) {
            accepted.onReply({ kind: GateReplyKind.Granted });
        }
        else {
            this.start(key, accepted);
        }
    }

    private confirm(key: string, body: Buffer | undefined): void {
        const accepted = this.acceptedOffers.get(key);
        if (accepted === undefined || accepted.grantedAtMs === 0 || accepted.startedAtMs > 0) {
            return;
        }
        const { deferredBodyBytes } = accepted.offer;
        accepted.body = deferredBodyBytes === undefined ? accepted.body : body;
        const isIncomplete = deferredBodyBytes !== undefined && body?.length !== deferredBodyBytes;
        const cause = isIncomplete ? RefusalCause.Voided : this.findLateRefusalCause(accepted);
        if (cause !== undefined) {
            this.refuseGranted(key, cause);
            this.startNext();
            return;
        }
        this.start(key, accepted);
    }

    /** Returns why an offer that was granted a slot must not start any more: the endpoint may have changed since, or the entry was late. */
    private findLateRefusalCause(accepted: AcceptedOffer): RefusalCause | undefined {
        if (this.isBlocked(accepted)) {
            return RefusalCause.Untrusted;
        }
        if (nowMs() - accepted.grantedAtMs > confirmTimeoutMs(accepted)) {
            return RefusalCause.Voided;
        }
        return this.findRefusalCause(accepted.offer);
    }

    /** Returns whether the grade of the endpoint, which may have dropped since admission, now blocks the request. */
    private isBlocked({ offer }: AcceptedOffer): boolean {
        return !offer.isTrial && !offer.isLastResort && isBlockedByGrade(this.outlierDetector.grade(nowMs()), offer);
    }

    private refuseGranted(key: string, cause: RefusalCause): void {
        this.queue.release(key);
        this.refuse(key, cause, 0, false);
    }

    private start(key: string, accepted: AcceptedOffer): void {
        const { offer } = accepted;
        const endpointId = this.endpoint?.id ?? "";
        accepted.startedAtMs = nowMs();
        accepted.busyShare = this.queue.runningCount / Math.max(1, this.endpoint?.slots ?? 1);
        accepted.run = this.endpoint;
        if (!offer.isRepeat) {
            this.retryBudget.countRequest(offer.callOfRepeatShare, accepted.startedAtMs);
        }
        this.statements.recordSend(sendReasonOf(offer), accepted.startedAtMs);
        const remainingMs = Math.max(1, Math.round(accepted.deadlineAtMs - accepted.startedAtMs - RETURN_MARGIN_MS));
        accepted.exchange = this.options.backend.send({
            method: offer.method,
            path: offer.path,
            headers: this.options.dialect.requestHeaders({ ...offer, endpointId }, remainingMs),
            body: accepted.body ?? EMPTY,
            hasBody: offer.hasBody,
            requestId: offer.requestId,
            canStream: offer.acceptsStream === true,
            maxBodyBytes: offer.acceptsStream === true ? undefined : MAX_WHOLE_BODY_BYTES,
        }, offer.requestKind === RequestKind.Once, () => this.recordResend());
        accepted.onReply({ kind: GateReplyKind.Started });
        accepted.exchange.result.then((result) => this.finish(key, accepted, result)).catch((thrown: unknown) => {
            this.options.events.recordError(toError(thrown), { requestId: offer.requestId });
            accepted.onReply({ kind: GateReplyKind.Broken, problem: "unexpected error at the gate", lostEndpoint: false });
        });
    }

    /** Counts a request that the pool sends again because its first connection was stale. */
    private recordResend(): void {
        const atMs = nowMs();
        this.statements.limiter.recordSend(atMs);
        this.statements.recordSend(SendReason.Resend, atMs);
    }

    private finish(key: string, accepted: AcceptedOffer, result: BackendResult): void {
        const stream = result.kind === BackendResultKind.Answered ? result.stream : undefined;
        if (this.acceptedOffers.get(key) !== accepted) {
            stream?.cancel();
            return;
        }
        const heldBytes = this.bodyLimit.heldBytes;
        this.remove(key, result.kind === BackendResultKind.Answered);
        const atMs = nowMs();
        if (result.kind === BackendResultKind.NotConnected || result.kind === BackendResultKind.NotSent) {
            this.queue.release(key);
        }
        else if (result.kind === BackendResultKind.Answered && stream !== undefined) {
            this.openResponse(key, { stream, headAtMs: atMs, isSuccess: result.answer.status < MIN_FAILED_STATUS, hasSlot: true });
        }
        else {
            this.queue.finish(key, atMs, result.kind === BackendResultKind.Answered && result.answer.status < MIN_FAILED_STATUS);
        }
        const reply = this.evaluateResult(accepted, result, atMs);
        this.recordConcurrency(accepted, reply, atMs);
        this.handleGradeChange(atMs);
        this.startNext();
        if (reply.kind === GateReplyKind.Broken && reply.lostEndpoint) {
            void this.confirmEndpointLoss(accepted, reply, heldBytes);
        }
        else {
            accepted.onReply(reply);
        }
        this.options.onLoadChange(false);
    }

    /** Records how an answer depends on the requests that ran at the same time. Failures say nothing: most are faster than answers. */
    private recordConcurrency({ offer, busyShare, startedAtMs }: AcceptedOffer, reply: GateReply, atMs: number): void {
        if (reply.kind === GateReplyKind.Answered && reply.answer.status < MIN_FAILED_STATUS) {
            this.concurrencyLimit.recordAnswer(busyShare, (atMs - startedAtMs) / offer.usualMs, atMs);
        }
        else if (reply.kind === GateReplyKind.Refused && reply.cause === RefusalCause.Shed) {
            this.concurrencyLimit.recordShed(busyShare, atMs);
        }
        this.updateSlots(atMs);
    }

    /** Sets how many requests run at the same time. */
    private updateSlots(atMs: number): void {
        if (this.endpoint !== undefined) {
            const { slots } = this.endpoint;
            this.queue.setSlots(this.options.adaptsSlots?.() === false ? slots : this.concurrencyLimit.limit(slots, atMs));
        }
    }

    /** Keeps the slot of a request until its response has been received, or waits for its reader. */
    private openResponse(key: string, response: OpenResponse): void {
        this.openResponses.set(key, response);
        response.stream.onSettled(() => {
            this.openResponses.delete(key);
            this.releaseSlot(key, response);
        });
        if (this.openResponses.size > MAX_OPEN_RESPONSES) {
            const waiting = [...this.openResponses.values()].filter(({ stream }) => stream.waitsSinceMs !== undefined);
            const [first = response] = waiting.sort((one, other) => (one.stream.waitsSinceMs ?? 0) - (other.stream.waitsSinceMs ?? 0));
            this.budgetLog.recordRefusal("responses that are passed on", this.openResponses.size, MAX_OPEN_RESPONSES);
            first.stream.abort("too many responses wait for their readers");
        }
        this.scheduleTick();
    }

    private releaseSlot(key: string, response: OpenResponse): void {
        if (response.hasSlot) {
            response.hasSlot = false;
            // The service time ends with the head: the rest depends on the reader.
            this.queue.finish(key, response.headAtMs, response.isSuccess);
            this.startNext();
            this.options.onLoadChange(false);
        }
    }

    /** Replies after a dropped connection. The endpoint counts as lost only if it accepts no other connection either. */
    private async confirmEndpointLoss(
        accepted: AcceptedOffer,
        reply: Extract<GateReply, { kind: GateReplyKind.Broken }>,
        heldBytes: number,
    ): Promise<void> {
        const lostEndpoint = await isServerDown(this.options.backendAddress);
        const atMs = nowMs();
        if (lostEndpoint && this.bodyLimit.recordCrash(heldBytes, atMs)) {
            const budgetBytes = this.bodyLimit.budgetBytes(atMs);
            this.options.events.record(EventNumber.BodyBudgetReduced, { endpoint: this.endpoint?.id, heldBytes, budgetBytes });
        }
        accepted.onReply({ ...reply, lostEndpoint });
    }

    /** Removes an accepted offer, and its body from what the endpoint holds. */
    private remove(key: string, isAnswered: boolean): AcceptedOffer | undefined {
        const accepted = this.acceptedOffers.get(key);
        if (accepted !== undefined) {
            this.acceptedOffers.delete(key);
            this.bodyLimit.recordEnd(bodyBytesOf(accepted.offer), isAnswered);
        }
        return accepted;
    }

    private evaluateResult({ offer, startedAtMs, run }: AcceptedOffer, result: BackendResult, atMs: number): GateReply {
        switch (result.kind) {
            case BackendResultKind.NotConnected:
                this.outlierDetector.observe(ObservedOutcome.Failure, atMs, startedAtMs);
                return this.createRefusal(RefusalCause.Unreachable, 0, false);
            case BackendResultKind.NotSent:
                this.budgetLog.recordRefusal("requests at the endpoint", result.heldBytes, result.limitBytes, this.options.backendAddress);
                return this.createRefusal(RefusalCause.Busy, 0, false);
            case BackendResultKind.Broken:
                this.outlierDetector.observe(ObservedOutcome.Failure, atMs, startedAtMs);
                this.options.events.record(EventNumber.BackendBroken, {
                    requestId: offer.requestId,
                    problem: result.problem,
                    reused: result.wasReused,
                });
                if (result.excess !== undefined) {
                    this.budgetLog.recordRefusal(result.excess.kind, result.excess.held, result.excess.limit, this.options.backendAddress);
                }
                return { kind: GateReplyKind.Broken, problem: result.problem, lostEndpoint: !result.hadResponseBytes };
            case BackendResultKind.Answered: {
                const { status, headers } = result.answer;
                if (this.options.dialect.isNotRun(status, headers)) {
                    const isOtherEndpoint = status === STATUS_MISDIRECTED_REQUEST;
                    this.recordShed(!isOtherEndpoint);
                    if (isOtherEndpoint && run !== undefined) {
                        this.options.onPresence(run, false);
                    }
                    else {
                        this.statements.applyResponse(run, headers, startedAtMs, atMs);
                    }
                    return this.createRefusal(isOtherEndpoint ? RefusalCause.OtherEndpoint : RefusalCause.Shed, 0, true);
                }
                if (run !== undefined) {
                    this.options.onPresence(run, true);
                }
                this.statements.applyResponse(run, headers, startedAtMs, atMs);
                this.recordShed(false);
                this.observeStatus(status, startedAtMs, atMs);
                return { kind: GateReplyKind.Answered, answer: result.answer, load: this.load };
            }
        }
    }

    /**
     * Records the status of a response for outlier ejection. Does not count a failure if a call from this VM failed while
     * the request ran, or if the request had too little time before its deadline.
     */
    private observeStatus(status: number, startedAtMs: number, atMs: number): void {
        if (status < MIN_FAILED_STATUS) {
            this.outlierDetector.observe(ObservedOutcome.Success, atMs, startedAtMs);
        }
        else if (status === STATUS_GATEWAY_TIMEOUT && atMs - startedAtMs < AMPLE_TIME_FACTOR * this.queue.serviceMs) {
            return;
        }
        else if (!this.options.hasFailedCallSince(startedAtMs)) {
            this.outlierDetector.observe(ObservedOutcome.Failure, atMs, startedAtMs);
        }
    }

    private recordShed(isShed: boolean): void {
        this.shedShare += SHED_WEIGHT * ((isShed ? 1 : 0) - this.shedShare);
    }

    private cancel(key: string): void {
        this.openResponses.get(key)?.stream.cancel();
        const accepted = this.remove(key, false);
        if (accepted === undefined) {
            return;
        }
        if (this.queue.removeWaiting(key)) {
            return;
        }
        if (accepted.startedAtMs > 0) {
            accepted.exchange?.cancel();
            this.queue.finish(key, nowMs(), false);
        }
        else {
            this.queue.release(key);
        }
        this.startNext();
        this.options.onLoadChange(false);
    }

    private refuseAllWaiting(cause: RefusalCause): void {
        this.queue.removeAllWaiting().forEach(({ key }) => this.refuse(key, cause, 0, false));
    }

    private refuse(key: string, cause: RefusalCause, retryAfterMs: number, reachedEndpoint: boolean): void {
        const accepted = this.remove(key, false);
        accepted?.onReply(this.createRefusal(cause, retryAfterMs, reachedEndpoint));
    }

    /** Refuses the waiting requests that others have overtaken, so that they are no longer expected to be served in time. */
    private refuseDisplaced(atMs: number): void {
        this.queue.removeDisplaced(atMs).forEach((request) => this.refuseWaiting(request, DisplacementCause.Overtaken, atMs));
    }

    private refuseWaiting(request: ServingRequest, cause: DisplacementCause, atMs: number): void {
        const { key, organisation } = request;
        if (organisation === "") {
            this.refuse(key, RefusalCause.Busy, Math.round(this.queue.serviceMs), false);
            return;
        }
        const accepted = this.acceptedOffers.get(key);
        this.options.events.record(EventNumber.RequestDisplaced, {
            requestId: accepted?.offer.requestId,
            organisation,
            cause,
            waitedMs: accepted === undefined ? undefined : Math.round(atMs - accepted.deadlineAtMs + accepted.offer.remainingMs),
        });
        this.refuse(key, RefusalCause.Busy, this.queue.roomDelayMs(request, atMs), false);
    }

    private createRefusal(cause: RefusalCause, retryAfterMs: number, reachedEndpoint: boolean): GateReply {
        return { kind: GateReplyKind.Refused, cause, retryAfterMs, reachedEndpoint, load: this.load };
    }

    private tick(): void {
        const atMs = nowMs();
        this.queue.removeOverdue(atMs).forEach((request) => this.refuseWaiting(request, DisplacementCause.Overdue, atMs));
        this.refuseDisplaced(atMs);
        const hungAfterMs = Math.max(MIN_HANG_MS, HANG_FACTOR * this.queue.serviceMs);
        this.acceptedOffers.forEach((accepted) => {
            if (accepted.startedAtMs > 0 && atMs > accepted.deadlineAtMs + ABANDON_DELAY_MS) {
                accepted.exchange?.cancel();
            }
            if (!accepted.isHung && accepted.startedAtMs > 0 && atMs - Math.max(accepted.startedAtMs, this.resumedAtMs) > hungAfterMs) {
                accepted.isHung = true;
                this.outlierDetector.observe(ObservedOutcome.Failure, atMs, accepted.startedAtMs);
                this.handleGradeChange(atMs);
            }
        });
        this.openResponses.forEach((response, key) => {
            if (atMs - (response.stream.waitsSinceMs ?? atMs) > STALLED_RESPONSE_MS) {
                this.releaseSlot(key, response);
            }
        });
        this.reclaimUnconfirmedSlots(atMs);
        this.startNext();
    }

    /** Frees slots that entries did not confirm in time. */
    private reclaimUnconfirmedSlots(atMs: number): void {
        const isUnconfirmed = (accepted: AcceptedOffer): boolean =>
            accepted.grantedAtMs > 0 && accepted.startedAtMs === 0 && atMs - accepted.grantedAtMs > confirmTimeoutMs(accepted);
        [...this.acceptedOffers].filter(([, accepted]) => isUnconfirmed(accepted)).forEach(([key]) => this.refuseGranted(key, RefusalCause.Voided));
    }

    private scheduleTick(): void {
        if (this.tickTimer !== undefined) {
            return;
        }
        const scheduledAtMs = nowMs();
        this.tickTimer = setTimeout(() => {
            this.tickTimer = undefined;
            this.resumedAtMs = nowMs() - scheduledAtMs >= MIN_PAUSE_MS ? nowMs() : this.resumedAtMs;
            this.tick();
            if (this.offerCount > 0) {
                this.scheduleTick();
            }
        }, alignedDelayMs(nowMs(), TICK_INTERVAL_MS));
    }

    private startNext(): void {
        if (this.endpoint?.phase === EndpointPhase.Ready && !this.isStopping) {
            this.queue.startNext(nowMs()).forEach(({ key }) => this.grant(key));
            this.scheduleLimitedStart();
        }
    }

    /** Starts the next waiting request as soon as the limit of the endpoint allows it. */
    private scheduleLimitedStart(): void {
        const delayMs = this.queue.nextStartDelayMs(nowMs());
        if (delayMs !== undefined && this.limitTimer === undefined) {
            this.limitTimer = setTimeout(() => {
                this.limitTimer = undefined;
                this.startNext();
            }, Math.min(MAX_TIMER_MS, delayMs));
        }
    }

    private handleGradeChange(atMs: number): void {
        const grade = this.outlierDetector.grade(atMs);
        if (grade !== this.lastGrade) {
            this.options.events.record(EventNumber.EndpointGraded, {
                endpoint: this.endpoint?.id,
                service: this.endpoint?.service,
                from: Grade[this.lastGrade],
                to: Grade[grade],
            });
            this.lastGrade = grade;
            this.options.onLoadChange(true);
        }
        if (grade !== Grade.Trusted) {
            this.queue.removeBlocked(grade).forEach(({ key }) => this.refuse(key, RefusalCause.Untrusted, 0, false));
        }
    }
}

/** Time for which a granted slot is reserved for an offer, in ms; a body that comes with the confirmation takes its time on the link. */
function confirmTimeoutMs({ offer }: AcceptedOffer): number {
    return CONFIRM_TIMEOUT_MS + (offer.deferredBodyBytes === undefined ? 0 : bodyBytesOf(offer) / MIN_LINK_BYTES_PER_MS);
}

/** Reads an offer; one of an entry of an earlier version, during an update, carries no organisation. */
function toServingRequest(offer: ReceivedOffer, atMs: number): ServingRequest {
    const { organisation = "", organisationPriority = 0 } = offer;
    return {
        key: offer.key,
        requestKind: offer.requestKind,
        priority: offer.priority,
        organisation,
        organisationPriority,
        deadlineAtMs: atMs + offer.remainingMs,
        targetAtMs: atMs + offer.targetRemainingMs,
        maxQueueMs: offer.maxQueueMs,
        isTrial: offer.isTrial,
        isLastResort: offer.isLastResort,
    };
}

function sendReasonOf({ isTrial, isLastResort, isRepeat }: WorkOffer): SendReason {
    if (isRepeat) {
        return SendReason.Repeat;
    }
    if (isTrial) {
        return SendReason.Probe;
    }
    return isLastResort ? SendReason.LastResort : SendReason.First;
}
