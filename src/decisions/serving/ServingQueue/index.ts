import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { TrialPace } from "../../suspicion/TrialPace/index.js";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { Admission } from "../Admission.js";
import { AdmissionKind } from "../AdmissionKind.js";
import { isBarredBy } from "../isBarredBy/index.js";
import { ServingRequest } from "../ServingRequest.js";

/** Service time assumed before the first answer, in ms; about the work of a short request. */
const INITIAL_SERVICE_MS = 300;
/** Weight of the latest service time in the mean. */
const SERVICE_WEIGHT = 0.1;
/** Shortest time after which a refused caller is told to return, in ms; less than the time to go round once. */
const MIN_RETRY_AFTER_MS = 50;

interface RunningRequest {
    readonly startedAtMs: number;
    readonly priority: number;
}

/**
 * Decides which requests an endpoint runs, which wait and which are refused. No more than the endpoint's slots are
 * handed out, so that what waits has certainly not run. Among waiting requests the higher rank goes first; within a
 * rank those that can still meet their target go before those that cannot, the earliest target first: calls that running
 * work waits for have short targets, and go before new work. A request that has been let in stays until its deadline.
 *
 * Answers for many independent entries that place by load reports up to half a second old, and for surges above the
 * endpoint's capacity.
 */
export class ServingQueue {
    private readonly running = new Map<string, RunningRequest>();
    private waiting: ServingRequest[] = [];
    private meanServiceMs = INITIAL_SERVICE_MS;
    private hasMeasured = false;
    private slotCount: number;

    private constructor(slots: number, private pace: TrialPace) {
        this.slotCount = slots;
    }

    /**
     * Creates the queue of an endpoint.
     *
     * @param slots - Requests that the endpoint runs at the same time.
     */
    static create(slots: number): ServingQueue {
        return new ServingQueue(slots, TrialPace.create());
    }

    /** Requests that the endpoint runs at the same time. */
    get slots(): number {
        return this.slotCount;
    }

    /** Number of requests handed to the endpoint. */
    get runningCount(): number {
        return this.running.size;
    }

    /** Number of requests that wait for a slot. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Mean time that a request occupies a slot, or undefined before the first answer. */
    get measuredServiceMs(): number | undefined {
        return this.hasMeasured ? this.meanServiceMs : undefined;
    }

    /** Mean time that a request occupies a slot, assumed before the first answer. */
    get serviceMs(): number {
        return this.meanServiceMs;
    }

    /** Changes the number of slots; running requests are not touched. */
    setSlots(slots: number): void {
        this.slotCount = slots;
    }

    /** Starts the pace of another run of the endpoint. */
    setPace(pace: TrialPace): void {
        this.pace = pace;
    }

    /** True if the endpoint has had no work for a time. */
    hasIdledFor(durationMs: number, nowMs: number): boolean {
        return this.running.size === 0 && this.pace.hasIdledFor(durationMs, nowMs);
    }

    /** Tells which work an endpoint that is not trusted should be tried with. */
    trialWish(grade: Grade, nowMs: number): TrialWish {
        return this.running.size < this.slotCount ? this.pace.wish(grade, this.running.size, nowMs) : TrialWish.None;
    }

    /**
     * Time that a request would wait for a slot. Slots on which requests of a higher rank run now are likely to go to others
     * of that rank, so that the request does not wait for these.
     */
    expectedWaitMs(request: Pick<ServingRequest, "priority" | "targetAtMs">): number {
        if (this.running.size + this.waiting.length < this.slotCount) {
            return 0;
        }
        const before = this.waiting.filter((waiting) => waiting !== request && isBefore(waiting, request)).length;
        const higher = [...this.running.values()].filter(({ priority }) => priority < request.priority).length;
        return (before + 1) * this.meanServiceMs / Math.max(1, this.slotCount - higher);
    }

    /**
     * Takes a request that arrives. A request that is started occupies a slot until `finish`; after one that is queued,
     * `startNext` has to be called.
     */
    arrive(request: ServingRequest, grade: Grade, nowMs: number): Admission {
        const refusal = this.findRefusal(request, grade, nowMs);
        if (refusal !== undefined) {
            return { kind: AdmissionKind.Refuse, cause: refusal, retryAfterMs: this.retryAfterMs(request) };
        }
        this.pace.noteWork(grade, nowMs);
        if (this.running.size < this.slotCount && this.waiting.length === 0) {
            this.start(request, nowMs);
            return { kind: AdmissionKind.Start };
        }
        this.waiting.push(request);
        return { kind: AdmissionKind.Queue };
    }

    /**
     * Frees the slot of a request.
     *
     * @param key - The request.
     * @param nowMs - Current time.
     * @param isMeasured - False if the request was broken off, so that its time says nothing of the endpoint's speed.
     */
    finish(key: string, nowMs: number, isMeasured: boolean): void {
        const startedAtMs = this.running.get(key)?.startedAtMs;
        if (startedAtMs !== undefined) {
            this.running.delete(key);
            if (isMeasured) {
                this.hasMeasured = true;
                this.meanServiceMs += SERVICE_WEIGHT * (nowMs - startedAtMs - this.meanServiceMs);
            }
        }
    }

    /** Takes a request out of the queue; true if it was waiting. */
    withdraw(key: string): boolean {
        const before = this.waiting.length;
        this.waiting = this.waiting.filter((request) => request.key !== key);
        return this.waiting.length < before;
    }

    /** Takes all requests out of the queue, as when the endpoint drains. */
    withdrawAll(): readonly ServingRequest[] {
        const withdrawn = this.waiting;
        this.waiting = [];
        return withdrawn;
    }

    /** Takes out the waiting requests that the endpoint is not trusted with any more, but for the last resort. */
    withdrawBarred(grade: Grade): readonly ServingRequest[] {
        const isWithdrawn = (request: ServingRequest): boolean => !request.isLastResort && isBarredBy(grade, request);
        const withdrawn = this.waiting.filter(isWithdrawn);
        this.waiting = this.waiting.filter((request) => !isWithdrawn(request));
        return withdrawn;
    }

    /** Takes out the waiting requests that are not expected to meet their deadline any more, as others have overtaken them. */
    takeOverdue(nowMs: number): readonly ServingRequest[] {
        const overdue = this.waiting.filter((waiting) => this.isOverdue(waiting, nowMs));
        this.waiting = this.waiting.filter((waiting) => !overdue.includes(waiting));
        return overdue;
    }

    /** Starts the waiting requests for which there are slots. */
    startNext(nowMs: number): readonly ServingRequest[] {
        const started: ServingRequest[] = [];
        while (this.running.size < this.slotCount && this.waiting.length > 0) {
            const next = this.waiting.reduce((best, candidate) => this.goesBefore(candidate, best, nowMs) ? candidate : best);
            this.waiting = this.waiting.filter((waiting) => waiting !== next);
            this.start(next, nowMs);
            started.push(next);
        }
        return started;
    }

    private start(request: ServingRequest, nowMs: number): void {
        assertInvariant(!this.running.has(request.key), "a request occupies one slot", request.key);
        this.running.set(request.key, { startedAtMs: nowMs, priority: request.priority });
    }

    private findRefusal(request: ServingRequest, grade: Grade, nowMs: number): RefusalCause | undefined {
        if (this.isUntrustedFor(request, grade, nowMs)) {
            return RefusalCause.Untrusted;
        }
        const waitMs = this.expectedWaitMs(request);
        if (nowMs + waitMs >= request.deadlineAtMs) {
            return RefusalCause.Deadline;
        }
        return waitMs > request.maxQueueMs ? RefusalCause.Busy : undefined;
    }

    private isUntrustedFor(request: ServingRequest, grade: Grade, nowMs: number): boolean {
        if (request.isLastResort || !isBarredBy(grade, request)) {
            return false;
        }
        const wish = request.isTrial ? this.trialWish(grade, nowMs) : TrialWish.None;
        return wish === TrialWish.None || (wish === TrialWish.Repeatable && request.requestKind === RequestKind.Once);
    }

    /** A request is given up when half of the usual work is not expected to be done by its deadline. */
    private isOverdue(request: ServingRequest, nowMs: number): boolean {
        return nowMs + this.expectedWaitMs(request) + this.meanServiceMs / 2 >= request.deadlineAtMs;
    }

    private goesBefore(left: ServingRequest, right: ServingRequest, nowMs: number): boolean {
        if (left.priority !== right.priority) {
            return left.priority < right.priority;
        }
        const isLeftTimely = nowMs + this.meanServiceMs <= left.targetAtMs;
        const isRightTimely = nowMs + this.meanServiceMs <= right.targetAtMs;
        return isLeftTimely === isRightTimely ? left.targetAtMs < right.targetAtMs : isLeftTimely;
    }

    private retryAfterMs(request: ServingRequest): number {
        return Math.max(MIN_RETRY_AFTER_MS, Math.round(this.expectedWaitMs(request)));
    }
}

function isBefore(left: Pick<ServingRequest, "priority" | "targetAtMs">, right: Pick<ServingRequest, "priority" | "targetAtMs">): boolean {
    return left.priority < right.priority || (left.priority === right.priority && left.targetAtMs <= right.targetAtMs);
}
