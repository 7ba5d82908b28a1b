import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { assertNever } from "../../../model/assertNever/index.js";
import { AttemptId } from "../../../model/AttemptId.js";
import { SettleResult } from "../../../model/SettleResult.js";
import { Outcome } from "../../../model/Outcome.js";
import { RefusalReason } from "../../../model/RefusalReason.js";
import { SettleMode } from "../../../model/SettleMode.js";
import { ClaimedAttempt } from "../../claims/ClaimedAttempt.js";
import { AttemptList } from "../AttemptList/index.js";
import { AttemptProgress } from "../AttemptProgress.js";
import { RequestEffect } from "../RequestEffect.js";
import { RequestEffectKind } from "../RequestEffectKind.js";
import { RequestEvent } from "../RequestEvent.js";
import { RequestEventKind } from "../RequestEventKind.js";
import { RequestPlan } from "../RequestPlan.js";
import { RequestPorts } from "../RequestPorts.js";
import { TrackedAttempt } from "../TrackedAttempt.js";

const SETTLE_RETRY_MS = 100;
const FINAL_SETTLE_MS = 250;
const MAX_RESUMPTIONS = 10;
const FINISHED_VERDICTS_BEFORE_FETCH = 2;

const STALE_VIEW_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.Draining,
    RefusalReason.WrongIncarnation,
    RefusalReason.WrongEndpoint,
    RefusalReason.BackendUnreachable,
]);

/**
 * Drives one request of a caller to exactly one answer.
 *
 * The retry rule: work that is not idempotent goes to another gate only after every earlier attempt is known not to
 * have run. Deterministic: no clock, no input or output.
 */
export class RequestMachine {
    private readonly attempts = AttemptList.create();
    private isClosed = false;
    private isClosing = false;
    private resumptions = 0;
    private lastReason: RefusalReason = RefusalReason.NoEndpoint;
    private retryAfterMs = 0;

    private constructor(private readonly plan: RequestPlan, private readonly ports: RequestPorts) {}

    /** Creates the machine of a request. */
    static create(plan: RequestPlan, ports: RequestPorts): RequestMachine {
        return new RequestMachine(plan, ports);
    }

    /** True once the caller has its answer, or is gone. */
    get closed(): boolean {
        return this.isClosed;
    }

    /** Identities of all attempts that this request made. */
    get attemptIds(): readonly AttemptId[] {
        return this.attempts.ownIds;
    }

    /**
     * Takes one event.
     *
     * @param event - What happened.
     * @param nowMs - Time on the entry's clock.
     * @returns Effects to carry out, in order.
     */
    step(event: RequestEvent, nowMs: number): readonly RequestEffect[] {
        if (this.isClosed) {
            return event.kind === RequestEventKind.Head ? [{ kind: RequestEffectKind.Cancel, id: event.id }] : [];
        }
        switch (event.kind) {
            case RequestEventKind.Begin:
                return this.begin(nowMs);
            case RequestEventKind.HedgeDue:
                return this.hedge(nowMs);
            case RequestEventKind.DeadlineDue:
                return this.passDeadline(nowMs);
            case RequestEventKind.FinalSettleDue:
                return this.conclude(this.attempts.outcome, RefusalReason.DeadlinePassed);
            case RequestEventKind.CallerLost:
                return this.loseCaller();
            default:
                return this.stepAttempt(event, nowMs);
        }
    }

    private stepAttempt(event: Extract<RequestEvent, { id: AttemptId }>, nowMs: number): readonly RequestEffect[] {
        const attempt = this.attempts.find(event.id);
        if (attempt === undefined) {
            return [];
        }
        switch (event.kind) {
            case RequestEventKind.ClaimGranted:
                return this.sendClaimed(attempt, nowMs);
            case RequestEventKind.ClaimDenied:
                return this.denyClaim(attempt, event.reason);
            case RequestEventKind.ClaimFound:
                return this.fetchForeign(attempt, event.other);
            case RequestEventKind.ClaimUnknown:
                attempt.progress = AttemptProgress.Lost;
                return this.conclude(Outcome.Unknown, RefusalReason.KeyInUse);
            case RequestEventKind.Refused:
                return this.refuse(attempt, event.reason, event.retryAfterMs, nowMs);
            case RequestEventKind.NotSent:
                return this.markNotRun(attempt, RefusalReason.BackendUnreachable, nowMs);
            case RequestEventKind.Broken:
                return this.breakAttempt(attempt, nowMs);
            case RequestEventKind.Corrupt:
                return this.rejectCorrupt(attempt, nowMs);
            case RequestEventKind.Head:
                return this.deliver(attempt);
            case RequestEventKind.BodyBroken:
                return this.breakBody(attempt, event.resumable, nowMs);
            case RequestEventKind.BodyEnd:
                this.isClosed = true;
                return [];
            case RequestEventKind.AnswerUnavailable:
                return this.missAnswer(attempt);
            case RequestEventKind.Settled:
                return this.settle(attempt, event.verdict, nowMs);
            case RequestEventKind.QueryDue:
                return this.query(attempt);
            default:
                return assertNever(event);
        }
    }

    private begin(nowMs: number): readonly RequestEffect[] {
        const deadline: RequestEffect = {
            kind: RequestEffectKind.Arm,
            timer: { kind: RequestEventKind.DeadlineDue },
            atMs: this.plan.deadlineAtMs,
        };
        const first = this.tryNext(nowMs, false);
        const { hedgeAfterMs } = this.plan;
        if (hedgeAfterMs === undefined || !this.plan.idempotent || this.isClosed) {
            return this.isClosed ? first : [deadline, ...first];
        }
        return [
            deadline,
            ...first,
            { kind: RequestEffectKind.Arm, timer: { kind: RequestEventKind.HedgeDue }, atMs: nowMs + hedgeAfterMs },
        ];
    }

    private tryNext(nowMs: number, resume: boolean): readonly RequestEffect[] {
        const gate = this.ports.choose(this.attempts.gates);
        if (gate === undefined) {
            return resume ? this.abort() : this.conclude(this.attempts.outcome, this.lastReason);
        }
        this.assertMayRun();
        const progress = this.plan.claimed ? AttemptProgress.Claiming : AttemptProgress.Sent;
        const attempt = this.attempts.addOwn(this.ports.nextId(), gate, resume, progress);
        return this.plan.claimed
            ? [{ kind: RequestEffectKind.Claim, id: attempt.id, gate }]
            : this.send(attempt, nowMs);
    }

    private assertMayRun(): void {
        const mayRun = this.plan.idempotent || this.attempts.allNotRun;
        assertInvariant(mayRun, "work that is not idempotent is sent again only after its earlier attempts did not run", this.plan.requestId);
    }

    private send(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Sent;
        return [
            { kind: RequestEffectKind.Send, id: attempt.id, gate: attempt.gate, resume: attempt.resume },
            this.armQuery(attempt, nowMs + this.plan.queryAfterMs),
        ];
    }

    private sendClaimed(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        if (attempt.progress !== AttemptProgress.Claiming) {
            return [];
        }
        return this.send(attempt, nowMs);
    }

    private denyClaim(attempt: TrackedAttempt, reason: RefusalReason): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.NotRun;
        return this.conclude(this.attempts.outcome, reason);
    }

    private fetchForeign(attempt: TrackedAttempt, other: ClaimedAttempt): readonly RequestEffect[] {
        if (attempt.progress !== AttemptProgress.Claiming) {
            return [];
        }
        attempt.progress = AttemptProgress.NotRun;
        const foreign = this.attempts.addForeign(other.id, other.gate);
        return [{ kind: RequestEffectKind.Fetch, id: foreign.id, gate: foreign.gate }];
    }

    private refuse(attempt: TrackedAttempt, reason: RefusalReason, retryAfterMs: number, nowMs: number): readonly RequestEffect[] {
        if (reason === RefusalReason.Duplicate) {
            return this.breakAttempt(attempt, nowMs);
        }
        this.retryAfterMs = retryAfterMs;
        return this.markNotRun(attempt, reason, nowMs);
    }

    private markNotRun(attempt: TrackedAttempt, reason: RefusalReason, nowMs: number): readonly RequestEffect[] {
        if (!this.attempts.isOpen(attempt)) {
            return [];
        }
        attempt.progress = AttemptProgress.NotRun;
        this.lastReason = reason;
        return this.retry(attempt, STALE_VIEW_REASONS.has(reason), nowMs);
    }

    private retry(failed: TrackedAttempt, isFree: boolean, nowMs: number): readonly RequestEffect[] {
        if (failed.resume) {
            return this.resume(nowMs);
        }
        if (this.attempts.open.length > 0) {
            return [];
        }
        if (this.isClosing || nowMs >= this.plan.deadlineAtMs) {
            return this.conclude(this.attempts.outcome, RefusalReason.DeadlinePassed);
        }
        if (this.attempts.size >= this.plan.maxAttempts || !(isFree || this.ports.withdrawRetry())) {
            return this.conclude(this.attempts.outcome, this.lastReason);
        }
        return this.tryNext(nowMs, false);
    }

    private breakAttempt(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        if (attempt.progress === AttemptProgress.Fetching) {
            return this.missAnswer(attempt);
        }
        if (attempt.progress !== AttemptProgress.Sent) {
            return [];
        }
        if (this.plan.idempotent) {
            attempt.progress = AttemptProgress.Lost;
            return this.retry(attempt, false, nowMs);
        }
        return this.askToVoid(attempt);
    }

    private askToVoid(attempt: TrackedAttempt): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Settling;
        return [{ kind: RequestEffectKind.Settle, id: attempt.id, gate: attempt.gate, mode: SettleMode.Void }];
    }

    private rejectCorrupt(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        if (this.plan.idempotent) {
            attempt.progress = AttemptProgress.Lost;
            return this.retry(attempt, false, nowMs);
        }
        return attempt.fetched ? this.conclude(Outcome.Ran, undefined) : this.fetch(attempt);
    }

    private fetch(attempt: TrackedAttempt): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Fetching;
        attempt.fetched = true;
        return [{ kind: RequestEffectKind.Fetch, id: attempt.id, gate: attempt.gate }];
    }

    private missAnswer(attempt: TrackedAttempt): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Lost;
        return this.conclude(Outcome.Ran, undefined);
    }

    private deliver(attempt: TrackedAttempt): readonly RequestEffect[] {
        const isAwaited = this.attempts.isOpen(attempt) && attempt.progress !== AttemptProgress.Claiming;
        if (!isAwaited || (this.attempts.isOtherDelivering(attempt) && !attempt.resume)) {
            return [{ kind: RequestEffectKind.Cancel, id: attempt.id }];
        }
        attempt.progress = AttemptProgress.Delivering;
        const losers = this.attempts.open.filter((other) => other !== attempt);
        losers.forEach((other) => other.progress = AttemptProgress.Lost);
        return [
            ...losers.map((other): RequestEffect => ({ kind: RequestEffectKind.Cancel, id: other.id })),
            { kind: RequestEffectKind.Deliver, id: attempt.id },
        ];
    }

    private breakBody(attempt: TrackedAttempt, resumable: boolean, nowMs: number): readonly RequestEffect[] {
        if (attempt.progress !== AttemptProgress.Delivering) {
            return [];
        }
        attempt.progress = AttemptProgress.Lost;
        if (!this.plan.idempotent || !resumable) {
            return this.abort();
        }
        return this.resume(nowMs);
    }

    private resume(nowMs: number): readonly RequestEffect[] {
        this.resumptions += 1;
        return this.resumptions > MAX_RESUMPTIONS ? this.abort() : this.tryNext(nowMs, true);
    }

    private settle(attempt: TrackedAttempt, verdict: SettleResult, nowMs: number): readonly RequestEffect[] {
        const isAwaited = attempt.progress === AttemptProgress.Sent || attempt.progress === AttemptProgress.Settling;
        if (!isAwaited) {
            return [];
        }
        switch (verdict) {
            case SettleResult.Voided:
                return [...this.suspect(attempt), ...this.markNotRun(attempt, RefusalReason.Voided, nowMs)];
            case SettleResult.NeverArrived:
                return this.plan.idempotent ? this.giveUp(attempt, nowMs) : this.askToVoid(attempt);
            case SettleResult.Queued:
            case SettleResult.Started:
                return this.isClosing ? this.conclude(Outcome.Unknown, RefusalReason.DeadlinePassed) : this.askLater(attempt, nowMs);
            case SettleResult.Finished:
                return this.finish(attempt, nowMs);
            case SettleResult.Unknown:
                return this.plan.idempotent ? this.giveUp(attempt, nowMs) : this.conclude(Outcome.Unknown, undefined);
            case SettleResult.Unreachable:
                return this.plan.idempotent ? this.giveUp(attempt, nowMs) : this.askLater(attempt, nowMs);
            default:
                return assertNever(verdict);
        }
    }

    private finish(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        attempt.finishedVerdicts += 1;
        const mayBeOnItsWay = attempt.progress === AttemptProgress.Sent
            && attempt.finishedVerdicts < FINISHED_VERDICTS_BEFORE_FETCH
            && !this.isClosing;
        if (mayBeOnItsWay) {
            return [this.armQuery(attempt, nowMs + SETTLE_RETRY_MS)];
        }
        return this.plan.idempotent
            ? this.giveUp(attempt, nowMs)
            : [...this.suspect(attempt), ...this.fetch(attempt)];
    }

    private suspect(attempt: TrackedAttempt): readonly RequestEffect[] {
        return [
            { kind: RequestEffectKind.SuspectConnection, id: attempt.id, gate: attempt.gate },
            { kind: RequestEffectKind.Cancel, id: attempt.id },
        ];
    }

    private giveUp(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Lost;
        return [...this.suspect(attempt), ...this.retry(attempt, false, nowMs)];
    }

    private askLater(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        const waitMs = attempt.progress === AttemptProgress.Settling ? SETTLE_RETRY_MS : this.plan.queryAfterMs;
        return [this.armQuery(attempt, nowMs + waitMs)];
    }

    private query(attempt: TrackedAttempt): readonly RequestEffect[] {
        switch (attempt.progress) {
            case AttemptProgress.Sent:
                return [{ kind: RequestEffectKind.Settle, id: attempt.id, gate: attempt.gate, mode: SettleMode.Query }];
            case AttemptProgress.Settling:
                return this.askToVoid(attempt);
            default:
                return [];
        }
    }

    private hedge(nowMs: number): readonly RequestEffect[] {
        const open = this.attempts.open;
        const isWaiting = open.length === 1 && open[0]?.progress === AttemptProgress.Sent;
        if (!isWaiting || this.attempts.size >= this.plan.maxAttempts || !this.ports.withdrawRetry()) {
            return [];
        }
        const gate = this.ports.choose(this.attempts.gates);
        return gate === undefined ? [] : this.tryNext(nowMs, false);
    }

    private passDeadline(nowMs: number): readonly RequestEffect[] {
        if (this.attempts.isDelivering) {
            return [];
        }
        const open = this.attempts.open;
        if (this.plan.idempotent) {
            open.forEach((attempt) => attempt.progress = AttemptProgress.Lost);
            return [...open.map(cancel), ...this.conclude(this.attempts.outcome, RefusalReason.DeadlinePassed)];
        }
        this.isClosing = true;
        return [
            ...open.flatMap((attempt) => this.closeAttempt(attempt)),
            {
                kind: RequestEffectKind.Arm,
                timer: { kind: RequestEventKind.FinalSettleDue },
                atMs: nowMs + FINAL_SETTLE_MS,
            },
        ];
    }

    private closeAttempt(attempt: TrackedAttempt): readonly RequestEffect[] {
        switch (attempt.progress) {
            case AttemptProgress.Claiming:
                attempt.progress = AttemptProgress.NotRun;
                return [];
            case AttemptProgress.Sent:
            case AttemptProgress.Settling:
                return this.askToVoid(attempt);
            default:
                return [];
        }
    }

    private loseCaller(): readonly RequestEffect[] {
        this.isClosed = true;
        const open = this.attempts.open;
        if (this.plan.idempotent) {
            return open.map(cancel);
        }
        const effects = open.flatMap((attempt) => this.closeAttempt(attempt));
        return [...effects, ...this.release()];
    }

    private release(): readonly RequestEffect[] {
        const didNotRun = this.attempts.outcome === Outcome.NotRun;
        return this.plan.claimed && didNotRun ? [{ kind: RequestEffectKind.Release }] : [];
    }

    private abort(): readonly RequestEffect[] {
        this.isClosed = true;
        return [{ kind: RequestEffectKind.AbortCaller }];
    }

    private conclude(outcome: Outcome, reason: RefusalReason | undefined): readonly RequestEffect[] {
        assertInvariant(outcome !== Outcome.NotRun || this.attempts.allNotRun, "a request answered not-run has no attempt that may have run", this.plan.requestId);
        this.isClosed = true;
        return [
            ...this.attempts.open.map(cancel),
            ...this.release(),
            { kind: RequestEffectKind.Conclude, outcome, reason, retryAfterMs: this.retryAfterMs },
        ];
    }

    private armQuery(attempt: TrackedAttempt, atMs: number): RequestEffect {
        return { kind: RequestEffectKind.Arm, timer: { kind: RequestEventKind.QueryDue, id: attempt.id }, atMs };
    }
}

function cancel(attempt: TrackedAttempt): RequestEffect {
    return { kind: RequestEffectKind.Cancel, id: attempt.id };
}
