import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { EndpointLimiter } from "../../limits/EndpointLimiter/index.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { ProbeScheduler } from "../../outliers/ProbeScheduler/index.js";
import { Admission } from "../Admission.js";
import { AdmissionKind } from "../AdmissionKind.js";
import { countAhead } from "../countAhead/index.js";
import { hasPrecedence } from "../hasPrecedence/index.js";
import { isBlockedByGrade } from "../isBlockedByGrade/index.js";
import { OrganisationTurns } from "../OrganisationTurns/index.js";
import { ReturnDelay } from "../ReturnDelay/index.js";
import { ServingRequest } from "../ServingRequest.js";
import { WaitBounds } from "../WaitBounds/index.js";

/** Maximum number of waiting requests; each takes memory with its body, and time whenever the queue is searched. */
const MAX_WAITING = 1_024;
/**
 * Maximum number of requests that run, whatever number of slots the endpoint states: each takes a connection, and a process has a
 * few thousand descriptors.
 */
const MAX_RUNNING = 1_024;
/** Service time assumed before the first answer, in ms: about that of a short request. */
const INITIAL_SERVICE_MS = 300;
/** Weight of the latest service time in the moving average. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Minimum retry-after time of a refusal, in ms; less than an entry needs to offer a request to the gates in turn. */
const MIN_RETRY_AFTER_MS = 50;
/** Delay of a start against the one expected at admission that does not displace a request, in ms: about the time between two starts. */
const TOLERATED_DELAY_MS = 150;

interface RunningRequest {
    readonly startedAtMs: number;
    readonly priority: number;
    readonly organisation: string;
    readonly organisationPriority: number;
    /** Reverts its use by its organisation, if it was not sent to the endpoint after all. */
    readonly withdrawUse: () => void;
}

/**
 * Admission control and queue of one endpoint: decides which requests run, which wait and which are refused. No more
 * requests are started than the endpoint has slots and its limit allows, so that a waiting request has certainly not run.
 *
 * Waiting requests are ordered by priority. Within a priority, those that can still meet their latency target go before
 * those that cannot, and earlier targets go first: nested calls that a running request waits for have short targets and
 * go before new requests. An admitted request stays until it is expected to miss its deadline.
 *
 * Requests of organisations are ordered by `OrganisationTurns`, after those without one. One that another has overtaken, so that it
 * can no longer start in time, is displaced at once. Without organisations none of this applies.
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
    private turns = OrganisationTurns.create();
    private waitBounds = WaitBounds.create();
    private returnDelay = ReturnDelay.create();
    /** Latest start of waiting requests with which they are served in time. */
    private readonly latestStarts = new WeakMap<ServingRequest, number>();

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

    /** Maximum number of waiting requests. */
    get maxWaiting(): number {
        return MAX_WAITING;
    }

    /** True while no further request may wait. */
    get isFull(): boolean {
        return this.waiting.length >= MAX_WAITING;
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

    /** Changes the number of slots, up to 1,024; running requests keep theirs. */
    setSlots(slots: number): void {
        this.slotCount = Math.min(MAX_RUNNING, slots);
    }

    /** Forgets what was known about the endpoint, because it has restarted. */
    resetEndpoint(limiter: EndpointLimiter): void {
        this.probeScheduler = ProbeScheduler.create();
        this.limiter = limiter;
        this.turns = OrganisationTurns.create();
        this.waitBounds = WaitBounds.create();
        this.returnDelay = ReturnDelay.create();
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
    expectedWaitMs(request: ServingRequest, nowMs: number): number {
        if (request.organisation !== "") {
            if (this.waiting.length === 0 && this.running.size < this.slotCount) {
                return this.limiter.waitMs(0, nowMs);
            }
            const others = this.waiting.filter((waiting) => waiting !== request);
            return this.turnWaitMs(this.estimateStartsAhead([...others, request], nowMs).get(request) ?? 0, nowMs);
        }
        const ahead = this.waiting.filter((waiting) =>
            waiting !== request && waiting.organisation === "" && hasPrecedence(waiting, request)).length;
        return this.waitAheadMs(request, ahead, nowMs);
    }

    private waitAheadMs(request: Pick<ServingRequest, "priority">, ahead: number, nowMs: number): number {
        return Math.max(this.slotWaitMs(request, ahead), this.limiter.waitMs(ahead, nowMs));
    }

    private slotWaitMs({ priority }: Pick<ServingRequest, "priority">, ahead: number): number {
        if (this.running.size + this.waiting.length < this.slotCount) {
            return 0;
        }
        const higher = [...this.running.values()].filter((running) => running.organisation === "" && running.priority < priority).length;
        return (ahead + 1) * this.meanServiceMs / Math.max(1, this.slotCount - higher);
    }

    /** Estimates the wait of a request of an organisation from the number of starts before its own. */
    private turnWaitMs(startsAhead: number, nowMs: number): number {
        const limitWaitMs = this.limiter.waitMs(Math.floor(startsAhead), nowMs);
        const hasFreeSlot = this.running.size + this.waiting.length < this.slotCount;
        return hasFreeSlot ? limitWaitMs : Math.max((startsAhead + 1) * this.meanServiceMs / Math.max(1, this.slotCount), limitWaitMs);
    }

    private estimateStartsAhead(waiting: readonly ServingRequest[], nowMs: number): ReadonlyMap<ServingRequest, number> {
        return this.turns.estimateStartsAhead(waiting, nowMs, this.meanServiceMs);
    }

    private canStart(nowMs: number): boolean {
        return this.running.size < this.slotCount && this.limiter.waitMs(0, nowMs) === 0;
    }

    /**
     * Decides on an offered request and records the decision. A started request occupies a slot until `finish` is called;
     * after a request was queued, `startNext` must be called, and then `removeDisplaced`.
     */
    admit(request: ServingRequest, grade: Grade, nowMs: number): Admission {
        if (request.organisation !== "") {
            this.turns.recordArrival(request, this.waiting, nowMs);
            this.waitBounds.record(request, nowMs);
        }
        const refusal = this.findRefusal(request, grade, nowMs);
        if (refusal !== undefined) {
            this.recordRefusal(request, nowMs);
            return { kind: AdmissionKind.Refuse, cause: refusal, retryAfterMs: this.retryAfterMs(request, nowMs) };
        }
        this.probeScheduler.recordRequest(grade, nowMs);
        if (request.organisation !== "" && request.maxQueueMs > 0) {
            this.returnDelay.recordAdmission(request, nowMs);
        }
        if (this.waiting.length === 0 && this.canStart(nowMs)) {
            this.start(request, nowMs);
            return { kind: AdmissionKind.Start };
        }
        this.waiting.push(request);
        this.latestStarts.set(request, nowMs + Math.max(TOLERATED_DELAY_MS, request.maxQueueMs));
        return { kind: AdmissionKind.Queue };
    }

    /**
     * Removes and returns the waiting requests of organisations that others have overtaken, so that they are no longer expected to start
     * in time: the least urgent one of the most served organisation first. They have not run.
     */
    removeDisplaced(nowMs: number): readonly ServingRequest[] {
        const displaced: ServingRequest[] = [];
        for (let next = this.findDisplaced(nowMs); next !== undefined; next = this.findDisplaced(nowMs)) {
            const removed = next;
            this.waiting = this.waiting.filter((waiting) => waiting !== removed);
            this.recordRefusal(removed, nowMs);
            displaced.push(removed);
        }
        return displaced;
    }

    /** Returns the time after which the queue is expected to have room for a refused request of an organisation, in ms. */
    roomDelayMs(request: ServingRequest, nowMs: number): number {
        const boundMs = this.waitBoundMs(request, nowMs);
        const roomMs = Math.max(MIN_RETRY_AFTER_MS, this.expectedWaitMs(request, nowMs) - boundMs);
        return Math.round(this.returnDelay.estimateMs(request, roomMs, Math.max(boundMs, this.meanServiceMs), nowMs));
    }

    private findDisplaced(nowMs: number): ServingRequest | undefined {
        if (!this.hasOrganisationsWaiting) {
            return undefined;
        }
        const startsAhead = this.estimateStartsAhead(this.waiting, nowMs);
        const order = [...startsAhead.keys()];
        if (this.waiting.length > MAX_WAITING) {
            return order.at(-1);
        }
        const intervalMs = this.meanServiceMs / Math.max(1, this.slotCount);
        return order.findLast((request, index) => index > 0
            && nowMs + this.turnWaitMs(startsAhead.get(request) ?? 0, nowMs) > (this.latestStarts.get(request) ?? nowMs) + intervalMs);
    }

    private get hasOrganisationsWaiting(): boolean {
        return this.waiting.some(({ organisation }) => organisation !== "");
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
        const running = this.running.get(key);
        if (running !== undefined) {
            this.running.delete(key);
            this.limiter.withdrawSend();
            running.withdrawUse();
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
        const calls = this.waiting.filter(({ organisation }) => organisation === "");
        const ahead = countAhead(calls);
        const startsAhead = calls.length < this.waiting.length ? this.estimateStartsAhead(this.waiting, nowMs) : undefined;
        const overdue = new Set(this.waiting.filter((waiting) => {
            const turnsAhead = startsAhead?.get(waiting);
            const waitMs = turnsAhead === undefined ? this.waitAheadMs(waiting, ahead.get(waiting) ?? 0, nowMs) : this.turnWaitMs(turnsAhead, nowMs);
            return this.isOverdue(waiting, waitMs, nowMs);
        }));
        this.waiting = this.waiting.filter((waiting) => !overdue.has(waiting));
        overdue.forEach((request) => this.recordRefusal(request, nowMs));
        return [...overdue];
    }

    /** Starts waiting requests while there are free slots and the limit allows it, and returns them. */
    startNext(nowMs: number): readonly ServingRequest[] {
        const started: ServingRequest[] = [];
        while (this.waiting.length > 0 && this.canStart(nowMs)) {
            const next = this.chooseNext(nowMs);
            if (next === undefined) {
                break;
            }
            this.waiting = this.waiting.filter((waiting) => waiting !== next);
            this.start(next, nowMs);
            started.push(next);
        }
        return started;
    }

    /** Records that a request was refused or displaced; an offer for a free slot only says nothing about the queue. */
    private recordRefusal(request: ServingRequest, nowMs: number): void {
        this.turns.recordRefusal(request);
        if (request.organisation !== "" && request.maxQueueMs > 0) {
            this.returnDelay.recordRefusal(request, nowMs);
        }
    }

    private chooseNext(nowMs: number): ServingRequest | undefined {
        const [firstCall, ...calls] = this.waiting.filter(({ organisation }) => organisation === "");
        return firstCall === undefined
            ? this.turns.takeNext(this.waiting, nowMs, this.meanServiceMs)
            : calls.reduce((best, candidate) => this.shouldStartBefore(candidate, best, nowMs) ? candidate : best, firstCall);
    }

    private start(request: ServingRequest, nowMs: number): void {
        assertInvariant(!this.running.has(request.key), "a request occupies one slot", request.key);
        const { priority, organisation, organisationPriority } = request;
        const withdrawUse = this.turns.recordStart(request, nowMs);
        this.running.set(request.key, { startedAtMs: nowMs, priority, organisation, organisationPriority, withdrawUse });
        this.limiter.recordSend(nowMs);
    }

    private findRefusal(request: ServingRequest, grade: Grade, nowMs: number): RefusalCause | undefined {
        if (this.isBlocked(request, grade, nowMs)) {
            return RefusalCause.Untrusted;
        }
        if (this.isFull && !this.canDisplaceLast(request, nowMs)) {
            return RefusalCause.Busy;
        }
        const waitMs = this.expectedWaitMs(request, nowMs);
        if (nowMs + waitMs >= request.deadlineAtMs) {
            return RefusalCause.Deadline;
        }
        return waitMs > this.waitBoundMs(request, nowMs) ? RefusalCause.Busy : undefined;
    }

    /** True if a request of an organisation waits that would start after the given one. */
    private canDisplaceLast(request: ServingRequest, nowMs: number): boolean {
        const last = [...this.estimateStartsAhead([...this.waiting, request], nowMs).keys()].at(-1);
        return last !== undefined && last !== request;
    }

    private waitBoundMs(request: ServingRequest, nowMs: number): number {
        return request.organisation === "" ? request.maxQueueMs : this.waitBounds.boundMs(request, nowMs);
    }

    private isBlocked(request: ServingRequest, grade: Grade, nowMs: number): boolean {
        if (request.isLastResort || !isBlockedByGrade(grade, request)) {
            return false;
        }
        const demand = request.isTrial ? this.probeDemand(grade, nowMs) : ProbeDemand.None;
        return demand === ProbeDemand.None || (demand === ProbeDemand.Repeatable && request.requestKind === RequestKind.Once);
    }

    /** True if not even half of the mean service time is expected to fit before the deadline. */
    private isOverdue(request: ServingRequest, waitMs: number, nowMs: number): boolean {
        return nowMs + waitMs + this.meanServiceMs / 2 >= request.deadlineAtMs;
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
        return request.organisation === ""
            ? Math.max(MIN_RETRY_AFTER_MS, Math.round(this.expectedWaitMs(request, nowMs)))
            : this.roomDelayMs(request, nowMs);
    }
}
