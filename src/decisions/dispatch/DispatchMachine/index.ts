import { BackendResponse } from "../../../backend/BackendResponse.js";
import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { GateReply } from "../../../tunnel/GateReply.js";
import { GateReplyKind } from "../../../tunnel/GateReplyKind.js";
import { GateLoadReport } from "../../fleet/GateLoadReport.js";
import { Grade } from "../../fleet/Grade.js";
import { hasFreeSlot } from "../../placement/hasFreeSlot/index.js";
import { PlacementCandidate } from "../../placement/PlacementCandidate.js";
import { isBlockedByGrade } from "../../serving/isBlockedByGrade/index.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { CallerKind } from "../CallerKind.js";
import { chooseMaxQueueMs } from "../chooseMaxQueueMs/index.js";
import { DispatchEffect } from "../DispatchEffect.js";
import { DispatchEffectKind } from "../DispatchEffectKind.js";
import { DispatchEvent } from "../DispatchEvent.js";
import { DispatchEventKind } from "../DispatchEventKind.js";
import { DispatchFailure } from "../DispatchFailure.js";
import { DispatchPlan } from "../DispatchPlan.js";
import { DispatchDependencies } from "../DispatchDependencies.js";
import { OfferTerms } from "../OfferTerms.js";

/** Maximum number of gates that are offered the request for a free slot before it is offered to a queue. */
const MAX_FREE_SLOT_OFFERS = 3;
/** Maximum number of offers of one request; a refused offer costs a round trip and does not reach an endpoint. */
const MAX_OFFERS = 12;
/** Maximum number of gates that are offered the request for their queue. */
const MAX_QUEUE_OFFERS = 4;
/** Time after the start of a repeatable request at which it is hedged, as a multiple of the mean service time. */
const HEDGE_DELAY_FACTOR = 3;
/** Minimum hedge delay, in ms: nested calls of a running request delay its answer by about this much. */
const MIN_HEDGE_DELAY_MS = 600;
/** Number of endpoints that may shed a request in addition to the attempts of its route. */
const MAX_SHED_ARRIVALS = 3;
/** Lowest status that counts as a failure of the endpoint. */
const MIN_FAILED_STATUS = 500;
/** Minimum retry-after time of a refusal, in ms. */
const MIN_RETRY_AFTER_MS = 100;
/** Largest addition to the retry-after time, as a share of it, so that callers that were refused together do not return together. */
const RETRY_AFTER_JITTER = 0.5;

/** One offer of the request to one gate. */
interface Attempt {
    readonly vm: string;
    hasStarted: boolean;
}

/**
 * State machine of one request at its entry: decides which gates the request is offered to, when it is retried or hedged,
 * and how the caller is answered. A non-repeatable request is offered again only after the gate has confirmed that it has
 * not run, and the caller receives a refusal only if every gate has confirmed this.
 *
 * Designed for services with few slots per endpoint, where some endpoints fail most of their requests.
 *
 * Deterministic except for its dependencies: it reads no clock and does no I/O.
 */
export class DispatchMachine {
    private readonly openAttempts = new Map<number, Attempt>();
    /** VMs whose gates have refused the request. */
    private readonly refused = new Set<string>();
    /** VMs whose endpoints the request has reached. */
    private readonly tried = new Set<string>();
    private offers = 0;
    private arrivals = 0;
    /** Attempts that have run or may have run. */
    private possibleRuns = 0;
    private freeSlotOffers = 0;
    private queueOffers = 0;
    /** True once the request was offered for a wait that is preferred to a free slot in another failure domain. */
    private hasOfferedToWait = false;
    private hasConcluded = false;
    /** Shortest retry-after time of the refusals so far. */
    private retryAfterMs = Number.POSITIVE_INFINITY;
    private lastCause = RefusalCause.NoEndpoint;
    private failedAnswer: { readonly answer: BackendResponse; readonly attempt: number } | undefined;
    private lastProblem = "";

    private constructor(private readonly plan: DispatchPlan, private readonly ports: DispatchDependencies) {}

    /**
     * Creates the state machine of a request that has not been offered yet.
     *
     * @param plan - Properties of the request.
     * @param ports - Dependencies provided by the entry.
     */
    static create(plan: DispatchPlan, ports: DispatchDependencies): DispatchMachine {
        return new DispatchMachine(plan, ports);
    }

    /** True once the caller has been answered or has disconnected. */
    get isFinished(): boolean {
        return this.hasConcluded;
    }

    /** Number of offers made so far. */
    get offerCount(): number {
        return this.offers;
    }

    /** Number of endpoints that the request has reached. */
    get arrivalCount(): number {
        return this.arrivals;
    }

    /**
     * Handles one event.
     *
     * @param event - The event.
     * @param nowMs - Current time.
     * @returns The actions to carry out, in order; none once the request is finished.
     */
    step(event: DispatchEvent, nowMs: number): readonly DispatchEffect[] {
        if (this.hasConcluded) {
            return [];
        }
        switch (event.kind) {
            case DispatchEventKind.Begin:
                return this.offerNext(nowMs);
            case DispatchEventKind.Reply:
                return this.handleReply(event.attempt, event.reply, nowMs);
            case DispatchEventKind.HedgeDue:
                return this.handleHedgeDue(event.attempt, nowMs);
            case DispatchEventKind.Deadline:
                return this.conclude(this.chooseDeadlineEffect());
            case DispatchEventKind.CallerDisconnected:
                return this.conclude();
            case DispatchEventKind.Stop:
                this.lastCause = RefusalCause.Stopping;
                this.lastProblem = "the process is stopping";
                return this.conclude(this.chooseFinalEffect());
        }
    }

    private handleReply(attemptNumber: number, reply: GateReply, nowMs: number): readonly DispatchEffect[] {
        const attempt = this.openAttempts.get(attemptNumber);
        if (attempt === undefined) {
            return [];
        }
        switch (reply.kind) {
            case GateReplyKind.Queued:
            case GateReplyKind.Granted:
                return [];
            case GateReplyKind.Started:
                return this.handleStarted(attemptNumber, attempt, nowMs);
            case GateReplyKind.Refused:
                this.openAttempts.delete(attemptNumber);
                return this.handleRefusal(attempt, reply, nowMs);
            case GateReplyKind.Answered:
                this.openAttempts.delete(attemptNumber);
                return this.handleAnswer(attemptNumber, reply.answer, nowMs);
            case GateReplyKind.Broken:
                this.openAttempts.delete(attemptNumber);
                this.lastProblem = reply.problem;
                this.countArrival(attempt);
                return this.retryOrConclude(nowMs);
        }
    }

    private handleStarted(attemptNumber: number, attempt: Attempt, nowMs: number): readonly DispatchEffect[] {
        this.countArrival(attempt);
        attempt.hasStarted = true;
        const hedgeAtMs = nowMs + Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * this.ports.serviceMs);
        return this.isRepeatable && hedgeAtMs < this.plan.deadlineAtMs
            ? [{ kind: DispatchEffectKind.ScheduleHedge, attempt: attemptNumber, atMs: hedgeAtMs }]
            : [];
    }

    private countArrival(attempt: Attempt): void {
        if (!attempt.hasStarted) {
            this.arrivals += 1;
            this.possibleRuns += 1;
            this.tried.add(attempt.vm);
        }
    }

    /** Reverts `countArrival` for an attempt that started but did not reach its endpoint. */
    private undoArrival(attempt: Attempt): void {
        if (attempt.hasStarted) {
            this.arrivals -= 1;
            this.possibleRuns -= 1;
        }
    }

    private handleRefusal(attempt: Attempt, reply: Extract<GateReply, { kind: GateReplyKind.Refused }>, nowMs: number): readonly DispatchEffect[] {
        this.refused.add(attempt.vm);
        this.lastCause = reply.cause;
        if (reply.retryAfterMs > 0) {
            this.retryAfterMs = Math.min(this.retryAfterMs, reply.retryAfterMs);
        }
        if (!reply.reachedEndpoint) {
            this.undoArrival(attempt);
            return this.openAttempts.size > 0 ? [] : this.offerNext(nowMs);
        }
        this.countArrival(attempt);
        this.possibleRuns -= 1;
        return this.retryOrConclude(nowMs);
    }

    private handleAnswer(attemptNumber: number, answer: BackendResponse, nowMs: number): readonly DispatchEffect[] {
        if (answer.status < MIN_FAILED_STATUS) {
            return this.conclude({ kind: DispatchEffectKind.Deliver, answer, attempt: attemptNumber });
        }
        this.failedAnswer = { answer, attempt: attemptNumber };
        return this.retryOrConclude(nowMs);
    }

    private retryOrConclude(nowMs: number): readonly DispatchEffect[] {
        if (this.openAttempts.size > 0) {
            return [];
        }
        const canRetry = this.isRepeatable || !this.hasPossiblyRun;
        const isInTime = nowMs + this.ports.serviceMs / 2 < this.plan.deadlineAtMs;
        if (canRetry && isInTime && this.canReachAnother && this.hasUntriedCandidate()) {
            return this.offerNext(nowMs);
        }
        return this.conclude(this.chooseFinalEffect());
    }

    private handleHedgeDue(attemptNumber: number, nowMs: number): readonly DispatchEffect[] {
        const isWorthwhile = nowMs + this.ports.serviceMs < this.plan.deadlineAtMs;
        if (!this.isRepeatable || !this.openAttempts.has(attemptNumber) || this.openAttempts.size > 1 || !isWorthwhile || !this.canReachAnother) {
            return [];
        }
        const best = this.untriedCandidates().find(({ load }) => gradeOf(load) === Grade.Trusted);
        return best === undefined ? [] : [this.offer(best, { maxQueueMs: 0, isTrial: false, isLastResort: false })];
    }

    private offerNext(nowMs: number): readonly DispatchEffect[] {
        if (nowMs + this.ports.serviceMs / 2 >= this.plan.deadlineAtMs) {
            return this.conclude(this.chooseFinalEffect());
        }
        const candidates = this.untriedCandidates();
        const probe = this.offers === 0 ? this.chooseProbe(candidates) : undefined;
        if (probe !== undefined) {
            return [this.offer(probe, { maxQueueMs: 0, isTrial: true, isLastResort: false })];
        }
        const allowed = candidates.filter(({ load }) => !isBlockedByGrade(gradeOf(load), this.plan));
        const [best] = allowed;
        if (this.plan.requestKind === RequestKind.Download && this.queueOffers === 0 && best !== undefined && !isFree(best)) {
            this.queueOffers += 1;
            return [this.offer(best, { maxQueueMs: this.maxTimelyQueueMs(nowMs), isTrial: false, isLastResort: false })];
        }
        const preferredWaitMs = best?.preferredWaitMs ?? 0;
        if (best !== undefined && preferredWaitMs > 0 && !this.hasOfferedToWait && !isFree(best)) {
            this.hasOfferedToWait = true;
            return [this.offer(best, { maxQueueMs: Math.min(this.maxTimelyQueueMs(nowMs), preferredWaitMs), isTrial: false, isLastResort: false })];
        }
        const free = allowed.filter((candidate) => !this.refused.has(candidate.record.vm) && isFree(candidate));
        const target = free.find(({ load }) => gradeOf(load) === Grade.Trusted) ?? free[0];
        if (target !== undefined && this.freeSlotOffers < MAX_FREE_SLOT_OFFERS) {
            this.freeSlotOffers += 1;
            const maxQueueMs = Math.min(this.maxTimelyQueueMs(nowMs), target.acceptedWaitMs ?? 0);
            return [this.offer(target, { maxQueueMs, isTrial: false, isLastResort: false })];
        }
        return this.offerToQueueOrFallback(allowed, candidates, nowMs);
    }

    /**
     * Offers the request to a queue in which it can still meet its latency target; one in which it cannot would only delay
     * other requests. When all queue offers are used up, falls back to endpoints with free slots that are not trusted: a
     * non-repeatable request to a doubted one, any other request also to an ejected one. This way capacity that may be
     * healthy is not left unused, however many endpoints are ejected.
     */
    private offerToQueueOrFallback(
        allowed: readonly PlacementCandidate[],
        all: readonly PlacementCandidate[],
        nowMs: number,
    ): readonly DispatchEffect[] {
        const best = allowed[0] ?? all[0];
        const maxQueueMs = chooseMaxQueueMs(this.plan, nowMs, this.ports.serviceMs);
        if (best !== undefined && this.offers < MAX_OFFERS && this.queueOffers < MAX_QUEUE_OFFERS) {
            this.queueOffers += 1;
            return [this.offer(best, { maxQueueMs, isTrial: false, isLastResort: allowed.length === 0 })];
        }
        const isFallback = ({ load }: PlacementCandidate): boolean => this.isRepeatable || gradeOf(load) !== Grade.Ejected;
        const fallback = all.find((candidate) => isFallback(candidate) && !this.refused.has(candidate.record.vm) && isFree(candidate));
        if (fallback !== undefined && this.offers < MAX_OFFERS) {
            return [this.offer(fallback, { maxQueueMs: 0, isTrial: false, isLastResort: true })];
        }
        return this.conclude(this.chooseFinalEffect());
    }

    /** Longest queue wait with which the latency target is still met. */
    private maxTimelyQueueMs(nowMs: number): number {
        return Math.max(0, this.plan.targetAtMs - nowMs - this.ports.serviceMs);
    }

    /**
     * Chooses the gate among those that ask this entry for a request whose endpoint has waited longest: by rank, the slower
     * ones would always come last. Without being asked, only some of the entries may send a probe.
     */
    private chooseProbe(candidates: readonly PlacementCandidate[]): PlacementCandidate | undefined {
        const accepting = candidates.filter((candidate) => this.canProbe(candidate));
        const waiting = accepting.filter(({ waitingMs }) => waitingMs !== undefined);
        if (waiting.length > 0) {
            return waiting.reduce((longest, candidate) => (candidate.waitingMs ?? 0) > (longest.waitingMs ?? 0) ? candidate : longest);
        }
        return accepting.length > 0 && this.ports.shouldProbe() ? accepting[0] : undefined;
    }

    /** A probe may fail, so a repeatable request needs a second attempt unless the endpoint accepts any request as a probe. */
    private canProbe({ load, offersSinceReport, isCostlyToProbe }: PlacementCandidate): boolean {
        if (isCostlyToProbe === true || load === undefined || offersSinceReport > 0 || load.trialWish === ProbeDemand.None) {
            return false;
        }
        return load.trialWish === ProbeDemand.Any || (this.isRepeatable && this.plan.maxAttempts > 1);
    }

    private offer(candidate: PlacementCandidate, conditions: Omit<OfferTerms, "isRepeat">): DispatchEffect {
        assertInvariant(
            this.isRepeatable || !this.hasPossiblyRun,
            "a non-repeatable request is offered only while it has not run",
            candidate.record.vm,
        );
        const terms: OfferTerms = { ...conditions, isRepeat: this.arrivals > 0 };
        this.offers += 1;
        const attempt = this.offers;
        this.openAttempts.set(attempt, { vm: candidate.record.vm, hasStarted: false });
        return { kind: DispatchEffectKind.Offer, attempt, vm: candidate.record.vm, terms };
    }

    private untriedCandidates(): readonly PlacementCandidate[] {
        const ranked = this.ports.rank(this.refused).filter(({ isReachable }) => isReachable);
        const hasOpenAttempt = (vm: string): boolean => [...this.openAttempts.values()].some((attempt) => attempt.vm === vm);
        return ranked.filter(({ record }) => !this.tried.has(record.vm) && !hasOpenAttempt(record.vm));
    }

    private hasUntriedCandidate(): boolean {
        return this.untriedCandidates().length > 0;
    }

    private chooseFinalEffect(): DispatchEffect {
        if (this.failedAnswer !== undefined) {
            return { kind: DispatchEffectKind.Deliver, ...this.failedAnswer };
        }
        if (this.hasPossiblyRun) {
            return { kind: DispatchEffectKind.Fail, failure: DispatchFailure.OutcomeUnknown, problem: this.lastProblem };
        }
        const expectedMs = Number.isFinite(this.retryAfterMs) ? Math.max(MIN_RETRY_AFTER_MS, this.retryAfterMs) : MIN_RETRY_AFTER_MS;
        const retryAfterMs = this.plan.callerKind === CallerKind.Unknown
            ? expectedMs
            : Math.round(expectedMs * (1 + RETRY_AFTER_JITTER * this.ports.random()));
        return { kind: DispatchEffectKind.Refuse, cause: this.lastCause, retryAfterMs };
    }

    private chooseDeadlineEffect(): DispatchEffect {
        if (this.failedAnswer !== undefined) {
            return { kind: DispatchEffectKind.Deliver, ...this.failedAnswer };
        }
        return { kind: DispatchEffectKind.Fail, failure: DispatchFailure.TimedOut, problem: this.lastProblem };
    }

    private conclude(...final: readonly DispatchEffect[]): readonly DispatchEffect[] {
        this.hasConcluded = true;
        const cancels = [...this.openAttempts.keys()].map((attempt): DispatchEffect => ({ kind: DispatchEffectKind.Cancel, attempt }));
        this.openAttempts.clear();
        return [...final, ...cancels];
    }

    /** Endpoints that shed the request have not run it and use up no attempt, but each costs a retry and is limited separately. */
    private get canReachAnother(): boolean {
        return this.possibleRuns < this.plan.maxAttempts && this.arrivals < this.plan.maxAttempts + MAX_SHED_ARRIVALS;
    }

    private get hasPossiblyRun(): boolean {
        return this.possibleRuns > 0;
    }

    private get isRepeatable(): boolean {
        return this.plan.requestKind !== RequestKind.Once;
    }
}

/** An endpoint without a load report counts as trusted. */
function gradeOf(load: GateLoadReport | undefined): Grade {
    return load?.grade ?? Grade.Trusted;
}

function isFree({ load, offersSinceReport }: PlacementCandidate): boolean {
    return hasFreeSlot(load, offersSinceReport);
}
