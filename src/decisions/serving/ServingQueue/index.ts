import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { EndpointLimiter } from "../../limits/EndpointLimiter/index.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { ProbeScheduler } from "../../outliers/ProbeScheduler/index.js";
import { Admission } from "../Admission.js";
import { AdmissionKind } from "../AdmissionKind.js";
import { isBlockedByGrade } from "../isBlockedByGrade/index.js";
import { ServingRequest } from "../ServingRequest.js";

/** Maximum number of waiting requests; each takes memory with its body, and time whenever the queue is searched. */
const MAX_WAITING = 1_024;
/** Service time assumed before the first answer, in ms: about that of a short request. */
const INITIAL_SERVICE_MS = 300;
/** Weight of the latest service time in the moving average. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Minimum retry-after time of a refusal, in ms; less than an entry needs to offer a request to the gates in turn. */
const MIN_RETRY_AFTER_MS = 50;

interface RunningRequest {
    readonly startedAtMs: number;
    readonly priority: number;
}

/**
 * Admission control and queue of one endpoint: decides which requests run, which wait and which are refused. No more
 * requests are started than the endpoint has slots and its limit allows, so that a waiting request has certainly not run.
 *
 * Waiting requests are ordered by priority. Within a priority, those that can still meet their latency target go before
 * those that cannot, and earlier targets go first: nested calls that a running request waits for have short targets and
 * go before new requests. An admitted request stays until it is expected to miss its deadline.
 *
 * Designed for many independent entries that place requests by load reports up to half a second old, and for surges above
 * the endpoint's capacity.
 */
export class ServingQueue {
    private readonly running = new Map<string, RunningRequest>();
    private waiting: ServingRequest[] = [];
    private meanServiceMs = INITIAL_SERVICE_MS;
    private hasMeasured = false;
    private slotCount: number;

    private constructor(slots: number, private probeScheduler: ProbeScheduler, private limiter: EndpointLimiter) {
        this.slotCount = slots;
    }

    /**
     * Creates an empty queue.
     *
     * @param slots - Number of requests that the endpoint may run at the same time.
     */
    static create(slots: number): ServingQueue {
        return new ServingQueue(slots, ProbeScheduler.create(), EndpointLimiter.create());
    }

    /** Number of requests that the endpoint may run at the same time. */
    get slots(): number {
        return this.slotCount;
    }

    /** Number of requests that occupy a slot. */
    get runningCount(): number {
        return this.running.size;
    }

    /** Number of requests that wait for a slot. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Mean time that a request occupies a slot, in ms, or undefined before the first measurement. */
    get measuredServiceMs(): number | undefined {
        return this.hasMeasured ? this.meanServiceMs : undefined;
    }

    /** Mean time that a request occupies a slot, in ms; an assumed value before the first measurement. */
    get serviceMs(): number {
        return this.meanServiceMs;
    }

    /** Changes the number of slots; running requests keep theirs. */
    setSlots(slots: number): void {
        this.slotCount = slots;
    }

    /** Forgets what was known about the endpoint, because it has restarted. */
    resetEndpoint(limiter: EndpointLimiter): void {
        this.probeScheduler = ProbeScheduler.create();
        this.limiter = limiter;
    }

    /** Number of requests that run at the same time by slots and limit. */
    get usableSlots(): number {
        return Math.min(this.slotCount, this.limiter.maxConcurrent(this.meanServiceMs));
    }

    /** Returns the time until the limit allows a request behind those that wait, in ms. */
    limitWaitMs(nowMs: number): number {
        return this.limiter.waitMs(this.waiting.length, nowMs);
    }

    /** Returns the time until the limit allows the next waiting request, in ms; undefined if it waits for a slot, or none waits. */
    nextStartDelayMs(nowMs: number): number | undefined {
        return this.waiting.length > 0 && this.running.size < this.slotCount ? this.limiter.waitMs(0, nowMs) : undefined;
    }

    /** Checks whether a request could start and none has been admitted for a duration, however long earlier ones run. */
    hasBeenIdleFor(durationMs: number, nowMs: number): boolean {
        return this.canStart(nowMs) && this.probeScheduler.hasBeenIdleFor(durationMs, nowMs);
    }

    /** Time since a request was last admitted, in ms; infinite before the first one. */
    sinceLastRequestMs(nowMs: number): number {
        return this.probeScheduler.sinceLastRequestMs(nowMs);
    }

    /** Requests that the endpoint currently accepts as probes; none if all slots are taken or its limit is reached. */
    probeDemand(grade: Grade, nowMs: number): ProbeDemand {
        return this.canStart(nowMs) ? this.probeScheduler.chooseDemand(grade, this.running.size, nowMs) : ProbeDemand.None;
    }

    /**
     * Estimates how long a request would wait for a slot and for the limit, in ms. Slots that run requests of a higher
     * priority are left out, as they are likely to go to other requests of that priority.
     */
    expectedWaitMs(request: Pick<ServingRequest, "priority" | "targetAtMs">, nowMs: number): number {
        const ahead = this.waiting.filter((waiting) => waiting !== request && hasPrecedence(waiting, request)).length;
        return this.waitAheadMs(request, ahead, nowMs);
    }

    private waitAheadMs(request: Pick<ServingRequest, "priority">, ahead: number, nowMs: number): number {
        return Math.max(this.slotWaitMs(request, ahead), this.limiter.waitMs(ahead, nowMs));
    }

    private slotWaitMs({ priority }: Pick<ServingRequest, "priority">, ahead: number): number {
        if (this.running.size + this.waiting.length < this.slotCount) {
            return 0;
        }
        const higher = [...this.running.values()].filter((running) => running.priority < priority).length;
        return (ahead + 1) * this.meanServiceMs / Math.max(1, this.slotCount - higher);
    }

    private canStart(nowMs: number): boolean {
        return this.running.size < this.slotCount && this.limiter.waitMs(0, nowMs) === 0;
    }

    /**
     * Decides on an offered request and records the decision. A started request occupies a slot until `finish` is called;
     * after a request was queued, `startNext` must be called.
     */
    admit(request: ServingRequest, grade: Grade, nowMs: number): Admission {
        const refusal = this.findRefusal(request, grade, nowMs);
        if (refusal !== undefined) {
            return { kind: AdmissionKind.Refuse, cause: refusal, retryAfterMs: this.retryAfterMs(request, nowMs) };
        }
        this.probeScheduler.recordRequest(grade, nowMs);
        if (this.waiting.length === 0 && this.canStart(nowMs)) {
            this.start(request, nowMs);
            return { kind: AdmissionKind.Start };
        }
        this.waiting.push(request);
        return { kind: AdmissionKind.Queue };
    }

    /**
     * Frees the slot of a request.
     *
     * @param key - Key of the request.
     * @param nowMs - Current time.
     * @param shouldMeasure - Whether the running time is a sample of the service time; false if the request was aborted.
     */
    finish(key: string, nowMs: number, shouldMeasure: boolean): void {
        const startedAtMs = this.running.get(key)?.startedAtMs;
        if (startedAtMs !== undefined) {
            this.running.delete(key);
            if (shouldMeasure) {
                this.hasMeasured = true;
                this.meanServiceMs += SERVICE_TIME_WEIGHT * (nowMs - startedAtMs - this.meanServiceMs);
            }
        }
    }

    /** Frees the slot of a request that was not sent to the endpoint after all, which so has used nothing of its limit. */
    release(key: string): void {
        if (this.running.delete(key)) {
            this.limiter.withdrawSend();
        }
    }

    /** Removes a request from the queue; returns whether it was waiting. */
    removeWaiting(key: string): boolean {
        const previousCount = this.waiting.length;
        this.waiting = this.waiting.filter((request) => request.key !== key);
        return this.waiting.length < previousCount;
    }

    /** Removes and returns all waiting requests, as when the endpoint drains. */
    removeAllWaiting(): readonly ServingRequest[] {
        const removed = this.waiting;
        this.waiting = [];
        return removed;
    }

    /** Removes and returns the waiting requests that the endpoint's grade now blocks, except last-resort requests. */
    removeBlocked(grade: Grade): readonly ServingRequest[] {
        const isRemoved = (request: ServingRequest): boolean => !request.isLastResort && isBlockedByGrade(grade, request);
        const removed = this.waiting.filter(isRemoved);
        this.waiting = this.waiting.filter((request) => !isRemoved(request));
        return removed;
    }

    /** Removes and returns the waiting requests that are expected to miss their deadline because others have overtaken them. */
    removeOverdue(nowMs: number): readonly ServingRequest[] {
        const overdue = this.findOverdue(nowMs);
        const removed = this.waiting.filter((waiting) => overdue.has(waiting));
        this.waiting = this.waiting.filter((waiting) => !overdue.has(waiting));
        return removed;
    }

    /** Starts waiting requests while there are free slots and the limit allows it, and returns them. */
    startNext(nowMs: number): readonly ServingRequest[] {
        const started: ServingRequest[] = [];
        while (this.waiting.length > 0 && this.canStart(nowMs)) {
            const next = this.waiting.reduce((best, candidate) => this.shouldStartBefore(candidate, best, nowMs) ? candidate : best);
            this.waiting = this.waiting.filter((waiting) => waiting !== next);
            this.start(next, nowMs);
            started.push(next);
        }
        return started;
    }

    private start(request: ServingRequest, nowMs: number): void {
        assertInvariant(!this.running.has(request.key), "a request occupies one slot", request.key);
        this.running.set(request.key, { startedAtMs: nowMs, priority: request.priority });
        this.limiter.recordSend(nowMs);
    }

    private findRefusal(request: ServingRequest, grade: Grade, nowMs: number): RefusalCause | undefined {
        if (this.isBlocked(request, grade, nowMs)) {
            return RefusalCause.Untrusted;
        }
        if (this.waiting.length >= MAX_WAITING) {
            return RefusalCause.Busy;
        }
        const waitMs = this.expectedWaitMs(request, nowMs);
        if (nowMs + waitMs >= request.deadlineAtMs) {
            return RefusalCause.Deadline;
        }
        return waitMs > request.maxQueueMs ? RefusalCause.Busy : undefined;
    }

    private isBlocked(request: ServingRequest, grade: Grade, nowMs: number): boolean {
        if (request.isLastResort || !isBlockedByGrade(grade, request)) {
            return false;
        }
        const demand = request.isTrial ? this.probeDemand(grade, nowMs) : ProbeDemand.None;
        return demand === ProbeDemand.None || (demand === ProbeDemand.Repeatable && request.requestKind === RequestKind.Once);
    }

    /** Finds overdue requests in one pass over the queue: the last of several equal requests tells how many are ahead of each. */
    private findOverdue(nowMs: number): ReadonlySet<ServingRequest> {
        const lastFirst = [...this.waiting].sort((left, right) => right.priority - left.priority || right.targetAtMs - left.targetAtMs);
        const overdue = new Set<ServingRequest>();
        let ahead = 0;
        let next: ServingRequest | undefined;
        for (const [index, request] of lastFirst.entries()) {
            if (next === undefined || !hasPrecedence(next, request)) {
                ahead = lastFirst.length - 1 - index;
            }
            if (this.isOverdue(request, ahead, nowMs)) {
                overdue.add(request);
            }
            next = request;
        }
        return overdue;
    }

    /** True if not even half of the mean service time is expected to fit before the deadline. */
    private isOverdue(request: ServingRequest, ahead: number, nowMs: number): boolean {
        return nowMs + this.waitAheadMs(request, ahead, nowMs) + this.meanServiceMs / 2 >= request.deadlineAtMs;
    }

    private shouldStartBefore(left: ServingRequest, right: ServingRequest, nowMs: number): boolean {
        if (left.priority !== right.priority) {
            return left.priority < right.priority;
        }
        const isLeftTimely = nowMs + this.meanServiceMs <= left.targetAtMs;
        const isRightTimely = nowMs + this.meanServiceMs <= right.targetAtMs;
        return isLeftTimely === isRightTimely ? left.targetAtMs < right.targetAtMs : isLeftTimely;
    }

    private retryAfterMs(request: ServingRequest, nowMs: number): number {
        return Math.max(MIN_RETRY_AFTER_MS, Math.round(this.expectedWaitMs(request, nowMs)));
    }
}

/** Checks whether a request is ahead of another in the queue, by priority and then by target. */
function hasPrecedence(left: Pick<ServingRequest, "priority" | "targetAtMs">, right: Pick<ServingRequest, "priority" | "targetAtMs">): boolean {
    return left.priority < right.priority || (left.priority === right.priority && left.targetAtMs <= right.targetAtMs);
}
