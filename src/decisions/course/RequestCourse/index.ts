import { BackendAnswer } from "../../../backend/BackendAnswer.js";
import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { GateReply } from "../../../tunnel/GateReply.js";
import { GateReplyKind } from "../../../tunnel/GateReplyKind.js";
import { GateLoadReport } from "../../fleet/GateLoadReport.js";
import { Grade } from "../../fleet/Grade.js";
import { PlacementCandidate } from "../../placement/PlacementCandidate.js";
import { isBarredBy } from "../../serving/isBarredBy/index.js";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { CourseEffect } from "../CourseEffect.js";
import { CourseEffectKind } from "../CourseEffectKind.js";
import { CourseEvent } from "../CourseEvent.js";
import { CourseEventKind } from "../CourseEventKind.js";
import { CourseFailure } from "../CourseFailure.js";
import { CoursePlan } from "../CoursePlan.js";
import { CoursePorts } from "../CoursePorts.js";
import { OfferTerms } from "../OfferTerms.js";

/** Gates asked for a free slot before a place in a queue is taken. */
const FREE_SLOT_OFFERS = 3;
/** Offers of one request in all; a refusal costs a round trip and reaches no endpoint. */
const MAX_OFFERS = 12;
/** Gates asked for a place in their queue. */
const MAX_QUEUE_OFFERS = 4;
/** Expected wait that is borne although the target is missed, in ms: about the time until the next slot is free. */
const LATE_QUEUE_MS = 150;
/** Time without an answer after which a repeatable request is hedged, as a multiple of the mean service time. */
const HEDGE_FACTOR = 3;
/** Shortest time before a hedge, in ms; calls of running work push an answer out by about this. */
const MIN_HEDGE_MS = 600;
/** Endpoints that may turn a request away in addition to the attempts of its route. */
const MAX_SHED_ARRIVALS = 3;
/** Statuses from which on an answer is a failure of the endpoint. */
const FAILED_STATUS = 500;
/** Shortest time after which a refused caller is told to return, in ms. */
const MIN_RETRY_AFTER_MS = 100;

interface Attempt {
    readonly vm: string;
    hasStarted: boolean;
}

/**
 * Decides where a request is offered, when it is repeated, and what its caller is told. A request that must not be
 * repeated is offered again only after a gate has said that it has not run, and "not run" is said to the caller only if
 * every gate has said so.
 *
 * Answers for services with a few slots at each endpoint, some of which fail most of what they run.
 *
 * Deterministic but for its ports: no clock, no input or output.
 */
export class RequestCourse {
    private readonly open = new Map<number, Attempt>();
    private readonly refused = new Set<string>();
    private readonly tried = new Set<string>();
    private offers = 0;
    private arrivals = 0;
    /** Attempts that have run or may have. */
    private runs = 0;
    private freeSlotOffers = 0;
    private queueOffers = 0;
    private isDone = false;
    private retryAfterMs = Number.POSITIVE_INFINITY;
    private lastCause = RefusalCause.NoEndpoint;
    private failedAnswer: { readonly answer: BackendAnswer; readonly attempt: number } | undefined;
    private lastProblem = "";

    private constructor(private readonly plan: CoursePlan, private readonly ports: CoursePorts) {}

    /**
     * Creates the course of a request.
     *
     * @param plan - What is known of the request.
     * @param ports - How it learns of gates and of the retry budget.
     */
    static create(plan: CoursePlan, ports: CoursePorts): RequestCourse {
        return new RequestCourse(plan, ports);
    }

    /** True once the caller has been answered or is gone. */
    get isFinished(): boolean {
        return this.isDone;
    }

    /** Offers made so far. */
    get offerCount(): number {
        return this.offers;
    }

    /** Endpoints that the request has reached. */
    get arrivalCount(): number {
        return this.arrivals;
    }

    /** Takes one event and returns what to do, in order. */
    step(event: CourseEvent, nowMs: number): readonly CourseEffect[] {
        if (this.isDone) {
            return [];
        }
        switch (event.kind) {
            case CourseEventKind.Begin:
                return this.place(nowMs);
            case CourseEventKind.Reply:
                return this.takeReply(event.attempt, event.reply, nowMs);
            case CourseEventKind.Hedge:
                return this.hedge(event.attempt, nowMs);
            case CourseEventKind.Deadline:
                return this.conclude(this.expire());
            case CourseEventKind.CallerGone:
                return this.conclude();
            case CourseEventKind.Stop:
                this.lastCause = RefusalCause.Stopping;
                this.lastProblem = "the process stops";
                return this.conclude(this.giveUp());
        }
    }

    private takeReply(number: number, reply: GateReply, nowMs: number): readonly CourseEffect[] {
        const attempt = this.open.get(number);
        if (attempt === undefined) {
            return [];
        }
        switch (reply.kind) {
            case GateReplyKind.Queued:
            case GateReplyKind.Granted:
                return [];
            case GateReplyKind.Started:
                return this.start(number, attempt, nowMs);
            case GateReplyKind.Refused:
                this.open.delete(number);
                return this.takeRefusal(attempt, reply, nowMs);
            case GateReplyKind.Answered:
                this.open.delete(number);
                return this.takeAnswer(number, reply.answer, nowMs);
            case GateReplyKind.Broken:
                this.open.delete(number);
                this.lastProblem = reply.problem;
                this.countArrival(attempt);
                return this.repeatOrConclude(nowMs);
        }
    }

    private start(number: number, attempt: Attempt, nowMs: number): readonly CourseEffect[] {
        this.countArrival(attempt);
        attempt.hasStarted = true;
        const hedgeAtMs = nowMs + Math.max(MIN_HEDGE_MS, HEDGE_FACTOR * this.ports.serviceMs);
        return this.isRepeatable && hedgeAtMs < this.plan.deadlineAtMs
            ? [{ kind: CourseEffectKind.ArmHedge, attempt: number, atMs: hedgeAtMs }]
            : [];
    }

    private countArrival(attempt: Attempt): void {
        if (!attempt.hasStarted) {
            this.arrivals += 1;
            this.runs += 1;
            this.tried.add(attempt.vm);
        }
    }

    /** Takes back that a started attempt reached its endpoint. */
    private discountArrival(attempt: Attempt): void {
        if (attempt.hasStarted) {
            this.arrivals -= 1;
            this.runs -= 1;
        }
    }

    private takeRefusal(attempt: Attempt, reply: Extract<GateReply, { kind: GateReplyKind.Refused }>, nowMs: number): readonly CourseEffect[] {
        this.refused.add(attempt.vm);
        this.lastCause = reply.cause;
        if (reply.retryAfterMs > 0) {
            this.retryAfterMs = Math.min(this.retryAfterMs, reply.retryAfterMs);
        }
        if (!reply.reachedEndpoint) {
            this.discountArrival(attempt);
            return this.open.size > 0 ? [] : this.place(nowMs);
        }
        this.countArrival(attempt);
        this.runs -= 1;
        return this.repeatOrConclude(nowMs);
    }

    private takeAnswer(number: number, answer: BackendAnswer, nowMs: number): readonly CourseEffect[] {
        if (answer.status < FAILED_STATUS) {
            return this.conclude({ kind: CourseEffectKind.Deliver, answer, attempt: number });
        }
        this.failedAnswer = { answer, attempt: number };
        return this.repeatOrConclude(nowMs);
    }

    private repeatOrConclude(nowMs: number): readonly CourseEffect[] {
        if (this.open.size > 0) {
            return [];
        }
        const mayRepeat = this.isRepeatable || !this.mayHaveRun;
        const isInTime = nowMs + this.ports.serviceMs / 2 < this.plan.deadlineAtMs;
        if (mayRepeat && isInTime && this.mayReachAnother && this.hasOtherGate()) {
            return this.place(nowMs);
        }
        return this.conclude(this.giveUp());
    }

    private hedge(number: number, nowMs: number): readonly CourseEffect[] {
        const isWorthwhile = nowMs + this.ports.serviceMs < this.plan.deadlineAtMs;
        if (!this.isRepeatable || !this.open.has(number) || this.open.size > 1 || !isWorthwhile || !this.mayReachAnother) {
            return [];
        }
        const best = this.untried().find(({ load }) => gradeOf(load) === Grade.Trusted);
        return best === undefined ? [] : [this.offer(best, { maxQueueMs: 0, isTrial: false, isLastResort: false })];
    }

    private place(nowMs: number): readonly CourseEffect[] {
        if (nowMs + this.ports.serviceMs / 2 >= this.plan.deadlineAtMs) {
            return this.conclude(this.giveUp());
        }
        const candidates = this.untried();
        const trial = this.offers === 0 ? candidates.find((candidate) => this.suitsTrial(candidate)) : undefined;
        if (trial !== undefined && this.ports.drawTrial()) {
            return [this.offer(trial, { maxQueueMs: 0, isTrial: true, isLastResort: false })];
        }
        const trusted = candidates.filter(({ load }) => !isBarredBy(gradeOf(load), this.plan));
        const [best] = trusted;
        if (this.plan.requestKind === RequestKind.Download && this.queueOffers === 0 && best !== undefined && !seemsFree(best)) {
            this.queueOffers += 1;
            return [this.offer(best, { maxQueueMs: this.timelyQueueMs(nowMs), isTrial: false, isLastResort: false })];
        }
        const free = trusted.filter((candidate) => !this.refused.has(candidate.record.vm) && seemsFree(candidate));
        const fresh = free.find(({ load }) => gradeOf(load) === Grade.Trusted) ?? free[0];
        if (fresh !== undefined && this.freeSlotOffers < FREE_SLOT_OFFERS) {
            this.freeSlotOffers += 1;
            return [this.offer(fresh, { maxQueueMs: 0, isTrial: false, isLastResort: false })];
        }
        return this.queueSomewhere(trusted, candidates, nowMs);
    }

    /**
     * Asks for a place in a queue where the target can still be met; a place from which it cannot would only make others
     * late. When there is none, the request turns to the endpoints with free slots that are not trusted: work that must
     * not be repeated to the doubted ones, other work also to the ejected ones. So no capacity is held back that may be
     * sound, however many endpoints are ejected.
     */
    private queueSomewhere(
        trusted: readonly PlacementCandidate[],
        all: readonly PlacementCandidate[],
        nowMs: number,
    ): readonly CourseEffect[] {
        const best = trusted[0] ?? all[0];
        const maxQueueMs = Math.max(LATE_QUEUE_MS, this.timelyQueueMs(nowMs));
        if (best !== undefined && this.offers < MAX_OFFERS && this.queueOffers < MAX_QUEUE_OFFERS) {
            this.queueOffers += 1;
            return [this.offer(best, { maxQueueMs, isTrial: false, isLastResort: trusted.length === 0 })];
        }
        const isLastChance = ({ load }: PlacementCandidate): boolean => this.isRepeatable || gradeOf(load) !== Grade.Ejected;
        const last = all.find((candidate) => isLastChance(candidate) && !this.refused.has(candidate.record.vm) && seemsFree(candidate));
        if (last !== undefined && this.offers < MAX_OFFERS) {
            return [this.offer(last, { maxQueueMs: 0, isTrial: false, isLastResort: true })];
        }
        return this.conclude(this.giveUp());
    }

    /** Wait with which the target is still met. */
    private timelyQueueMs(nowMs: number): number {
        return Math.max(0, this.plan.targetAtMs - nowMs - this.ports.serviceMs);
    }

    /** A trial may fail, so that a request which may be repeated has to have an attempt left. */
    private suitsTrial({ load, offeredSince }: PlacementCandidate): boolean {
        if (load === undefined || offeredSince > 0 || load.trialWish === TrialWish.None) {
            return false;
        }
        return load.trialWish === TrialWish.Any || (this.isRepeatable && this.plan.maxAttempts > 1);
    }

    private offer(candidate: PlacementCandidate, given: Omit<OfferTerms, "isRepeat">): CourseEffect {
        assertInvariant(this.isRepeatable || !this.mayHaveRun, "work that must not be repeated is offered once it has not run", candidate.record.vm);
        const terms: OfferTerms = { ...given, isRepeat: this.arrivals > 0 };
        this.offers += 1;
        const attempt = this.offers;
        this.open.set(attempt, { vm: candidate.record.vm, hasStarted: false });
        return { kind: CourseEffectKind.Offer, attempt, vm: candidate.record.vm, terms };
    }

    private untried(): readonly PlacementCandidate[] {
        const ranked = this.ports.rank(this.refused).filter(({ isReachable }) => isReachable);
        const isOpen = (vm: string): boolean => [...this.open.values()].some((attempt) => attempt.vm === vm);
        return ranked.filter(({ record }) => !this.tried.has(record.vm) && !isOpen(record.vm));
    }

    private hasOtherGate(): boolean {
        return this.untried().length > 0;
    }

    private giveUp(): CourseEffect {
        if (this.failedAnswer !== undefined) {
            return { kind: CourseEffectKind.Deliver, ...this.failedAnswer };
        }
        if (this.mayHaveRun) {
            return { kind: CourseEffectKind.Fail, failure: CourseFailure.OutcomeUnknown, problem: this.lastProblem };
        }
        const retryAfterMs = Number.isFinite(this.retryAfterMs) ? Math.max(MIN_RETRY_AFTER_MS, this.retryAfterMs) : MIN_RETRY_AFTER_MS;
        return { kind: CourseEffectKind.Refuse, cause: this.lastCause, retryAfterMs };
    }

    private expire(): CourseEffect {
        if (this.failedAnswer !== undefined) {
            return { kind: CourseEffectKind.Deliver, ...this.failedAnswer };
        }
        return { kind: CourseEffectKind.Fail, failure: CourseFailure.TimedOut, problem: this.lastProblem };
    }

    private conclude(...last: readonly CourseEffect[]): readonly CourseEffect[] {
        this.isDone = true;
        const cancels = [...this.open.keys()].map((attempt): CourseEffect => ({ kind: CourseEffectKind.Cancel, attempt }));
        this.open.clear();
        return [...last, ...cancels];
    }

    /** Endpoints that have turned the request away have not run it, but each of them costs a repeat. */
    private get mayReachAnother(): boolean {
        return this.runs < this.plan.maxAttempts && this.arrivals < this.plan.maxAttempts + MAX_SHED_ARRIVALS;
    }

    private get mayHaveRun(): boolean {
        return this.runs > 0;
    }

    private get isRepeatable(): boolean {
        return this.plan.requestKind !== RequestKind.Once;
    }
}

function seemsFree({ load, offeredSince }: PlacementCandidate): boolean {
    return load === undefined || load.running + load.queued + offeredSince < load.slots;
}

/** An endpoint of which nothing is known has failed nothing. */
function gradeOf(load: GateLoadReport | undefined): Grade {
    return load?.grade ?? Grade.Trusted;
}
