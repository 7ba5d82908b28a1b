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
import { RequestCallbacks } from "../RequestCallbacks.js";
import { TrackedAttempt } from "../TrackedAttempt.js";

/** Delay before a gate is queried again about an unsettled attempt, in ms. */
const SETTLE_RETRY_DELAY_MS = 100;
/** Time after the deadline for the verdicts on open attempts to arrive, in ms. */
const FINAL_SETTLE_TIMEOUT_MS = 250;
const MAX_RESUMPTIONS = 10;
/** Number of "finished" verdicts without an answer after which the answer is fetched; after the first it may be in transit. */
const FINISHED_VERDICTS_BEFORE_FETCH = 2;

/** Refusals due to an outdated view of the endpoints or an unreachable one, not to load: a retry is not charged to the budget. */
const BUDGET_EXEMPT_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.Draining,
    RefusalReason.WrongIncarnation,
    RefusalReason.WrongEndpoint,
    RefusalReason.BackendUnreachable,
]);

/**
 * State machine of one request: decides when attempts are sent, retried, hedged, settled and resumed, and ends with
 * exactly one answer to the caller.
 *
 * Retry rule: a request that is not idempotent goes to another gate only once it is known that no earlier attempt has
 * run. Deterministic: no clock, no I/O.
 */
export class RequestMachine {
    private readonly attempts = AttemptList.create();
    private hasFinished = false;
    private isPastDeadline = false;
    private resumptionCount = 0;
    private lastRefusalReason: RefusalReason = RefusalReason.NoEndpoint;
    private retryAfterMs = 0;

    private constructor(private readonly plan: RequestPlan, private readonly callbacks: RequestCallbacks) {}

    /** Creates the state machine of a request. */
    static create(plan: RequestPlan, callbacks: RequestCallbacks): RequestMachine {
        return new RequestMachine(plan, callbacks);
    }

    /** True once the caller has been answered or has disconnected. */
    get isFinished(): boolean {
        return this.hasFinished;
    }

    /** Ids of all attempts that this request made. */
    get attemptIds(): readonly AttemptId[] {
        return this.attempts.ownIds;
    }

    /**
     * Handles one event.
     *
     * @param event - Event to handle.
     * @param nowMs - Current time on the entry's clock, in ms.
     * @returns Effects to execute, in order.
     */
    step(event: RequestEvent, nowMs: number): readonly RequestEffect[] {
        if (this.hasFinished) {
            return event.kind === RequestEventKind.AnswerReady ? [{ kind: RequestEffectKind.Cancel, id: event.id }] : [];
        }
        switch (event.kind) {
            case RequestEventKind.Begin:
                return this.handleBegin(nowMs);
            case RequestEventKind.HedgeDue:
                return this.handleHedgeDue(nowMs);
            case RequestEventKind.DeadlineDue:
                return this.handleDeadline(nowMs);
            case RequestEventKind.FinalSettleDue:
                return this.replyLocally(this.attempts.outcome, RefusalReason.DeadlinePassed);
            case RequestEventKind.CallerDisconnected:
                return this.handleCallerDisconnect();
            default:
                return this.handleAttemptEvent(event, nowMs);
        }
    }

    private handleAttemptEvent(event: Extract<RequestEvent, { id: AttemptId }>, nowMs: number): readonly RequestEffect[] {
        const attempt = this.attempts.find(event.id);
        if (attempt === undefined) {
            return [];
        }
        switch (event.kind) {
            case RequestEventKind.ClaimGranted:
                return this.handleClaimGranted(attempt, nowMs);
            case RequestEventKind.ClaimDenied:
                return this.handleClaimDenied(attempt, event.reason);
            case RequestEventKind.ClaimFound:
                return this.handleClaimFound(attempt, event.other);
            case RequestEventKind.ClaimUnknown:
                attempt.progress = AttemptProgress.Abandoned;
                return this.replyLocally(Outcome.Unknown, RefusalReason.KeyInUse);
            case RequestEventKind.Refused:
                return this.handleRefusal(attempt, event.reason, event.retryAfterMs, nowMs);
            case RequestEventKind.NotSent:
                return this.markNotRun(attempt, RefusalReason.BackendUnreachable, nowMs);
            case RequestEventKind.Interrupted:
                return this.handleInterruption(attempt, nowMs);
            case RequestEventKind.AnswerCorrupt:
                return this.handleCorruptAnswer(attempt, nowMs);
            case RequestEventKind.AnswerReady:
                return this.handleAnswerReady(attempt);
            case RequestEventKind.DeliveryInterrupted:
                return this.handleDeliveryInterrupted(attempt, event.canResume, nowMs);
            case RequestEventKind.DeliveryCompleted:
                this.hasFinished = true;
                return [];
            case RequestEventKind.AnswerUnavailable:
                return this.handleAnswerUnavailable(attempt);
            case RequestEventKind.Settled:
                return this.handleVerdict(attempt, event.verdict, nowMs);
            case RequestEventKind.QueryDue:
                return this.handleQueryDue(attempt);
            default:
                return assertNever(event);
        }
    }

    private handleBegin(nowMs: number): readonly RequestEffect[] {
        const deadline: RequestEffect = {
            kind: RequestEffectKind.ArmTimer,
            timer: { kind: RequestEventKind.DeadlineDue },
            atMs: this.plan.deadlineAtMs,
        };
        const first = this.tryNextGate(nowMs, false);
        const { hedgeAfterMs } = this.plan;
        if (hedgeAfterMs === undefined || !this.plan.isIdempotent || this.hasFinished) {
            return this.hasFinished ? first : [deadline, ...first];
        }
        return [
            deadline,
            ...first,
            { kind: RequestEffectKind.ArmTimer, timer: { kind: RequestEventKind.HedgeDue }, atMs: nowMs + hedgeAfterMs },
        ];
    }

    private tryNextGate(nowMs: number, isResumption: boolean): readonly RequestEffect[] {
        const gate = this.callbacks.chooseGate(this.attempts.gates);
        if (gate === undefined) {
            return isResumption ? this.abortCaller() : this.replyLocally(this.attempts.outcome, this.lastRefusalReason);
        }
        this.assertCanSend();
        const progress = this.plan.isClaimRequired ? AttemptProgress.Claiming : AttemptProgress.Sent;
        const attempt = this.attempts.addOwn(this.callbacks.allocateAttemptId(), gate, isResumption, progress);
        return this.plan.isClaimRequired
            ? [{ kind: RequestEffectKind.Claim, id: attempt.id, gate }]
            : this.send(attempt, nowMs);
    }

    private assertCanSend(): void {
        const canSend = this.plan.isIdempotent || this.attempts.isKnownNotRun;
        assertInvariant(canSend, "work that is not idempotent is sent again only after its earlier attempts did not run", this.plan.requestId);
    }

    private send(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Sent;
        return [
            { kind: RequestEffectKind.Send, id: attempt.id, gate: attempt.gate, isResumption: attempt.isResumption },
            this.armQueryTimer(attempt, nowMs + this.plan.queryAfterMs),
        ];
    }

    private handleClaimGranted(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        if (attempt.progress !== AttemptProgress.Claiming) {
            return [];
        }
        return this.send(attempt, nowMs);
    }

    private handleClaimDenied(attempt: TrackedAttempt, reason: RefusalReason): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.NotRun;
        return this.replyLocally(this.attempts.outcome, reason);
    }

    private handleClaimFound(attempt: TrackedAttempt, other: ClaimedAttempt): readonly RequestEffect[] {
        if (attempt.progress !== AttemptProgress.Claiming) {
            return [];
        }
        attempt.progress = AttemptProgress.NotRun;
        const earlier = this.attempts.addFromEarlierRequest(other.id, other.gate);
        return [{ kind: RequestEffectKind.Fetch, id: earlier.id, gate: earlier.gate }];
    }

    private handleRefusal(attempt: TrackedAttempt, reason: RefusalReason, retryAfterMs: number, nowMs: number): readonly RequestEffect[] {
        if (reason === RefusalReason.Duplicate) {
            return this.handleInterruption(attempt, nowMs);
        }
        this.retryAfterMs = retryAfterMs;
        return this.markNotRun(attempt, reason, nowMs);
    }

    private markNotRun(attempt: TrackedAttempt, reason: RefusalReason, nowMs: number): readonly RequestEffect[] {
        if (!this.attempts.isOpen(attempt)) {
            return [];
        }
        attempt.progress = AttemptProgress.NotRun;
        this.lastRefusalReason = reason;
        return this.retry(attempt, BUDGET_EXEMPT_REASONS.has(reason), nowMs);
    }

    private retry(failed: TrackedAttempt, isBudgetExempt: boolean, nowMs: number): readonly RequestEffect[] {
        if (failed.isResumption) {
            return this.resume(nowMs);
        }
        if (this.attempts.open.length > 0) {
            return [];
        }
        if (this.isPastDeadline || nowMs >= this.plan.deadlineAtMs) {
            return this.replyLocally(this.attempts.outcome, RefusalReason.DeadlinePassed);
        }
        if (this.attempts.size >= this.plan.maxAttempts || !(isBudgetExempt || this.callbacks.tryWithdrawRetry())) {
            return this.replyLocally(this.attempts.outcome, this.lastRefusalReason);
        }
        return this.tryNextGate(nowMs, false);
    }

    private handleInterruption(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        if (attempt.progress === AttemptProgress.Fetching) {
            return this.handleAnswerUnavailable(attempt);
        }
        if (attempt.progress !== AttemptProgress.Sent) {
            return [];
        }
        if (this.plan.isIdempotent) {
            attempt.progress = AttemptProgress.Abandoned;
            return this.retry(attempt, false, nowMs);
        }
        return this.requestVoid(attempt);
    }

    private requestVoid(attempt: TrackedAttempt): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Settling;
        return [{ kind: RequestEffectKind.Settle, id: attempt.id, gate: attempt.gate, mode: SettleMode.Void }];
    }

    private handleCorruptAnswer(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        if (this.plan.isIdempotent) {
            attempt.progress = AttemptProgress.Abandoned;
            return this.retry(attempt, false, nowMs);
        }
        return attempt.isAnswerRequested ? this.replyLocally(Outcome.Ran, undefined) : this.fetchRetainedAnswer(attempt);
    }

    private fetchRetainedAnswer(attempt: TrackedAttempt): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Fetching;
        attempt.isAnswerRequested = true;
        return [{ kind: RequestEffectKind.Fetch, id: attempt.id, gate: attempt.gate }];
    }

    private handleAnswerUnavailable(attempt: TrackedAttempt): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Abandoned;
        return this.replyLocally(Outcome.Ran, undefined);
    }

    private handleAnswerReady(attempt: TrackedAttempt): readonly RequestEffect[] {
        const isAwaited = this.attempts.isOpen(attempt) && attempt.progress !== AttemptProgress.Claiming;
        if (!isAwaited || (this.attempts.isAnotherDelivering(attempt) && !attempt.isResumption)) {
            return [{ kind: RequestEffectKind.Cancel, id: attempt.id }];
        }
        attempt.progress = AttemptProgress.Delivering;
        const losers = this.attempts.open.filter((other) => other !== attempt);
        losers.forEach((other) => other.progress = AttemptProgress.Abandoned);
        return [
            ...losers.map((other): RequestEffect => ({ kind: RequestEffectKind.Cancel, id: other.id })),
            { kind: RequestEffectKind.Deliver, id: attempt.id },
        ];
    }

    private handleDeliveryInterrupted(attempt: TrackedAttempt, canResume: boolean, nowMs: number): readonly RequestEffect[] {
        if (attempt.progress !== AttemptProgress.Delivering) {
            return [];
        }
        attempt.progress = AttemptProgress.Abandoned;
        if (!this.plan.isIdempotent || !canResume) {
            return this.abortCaller();
        }
        return this.resume(nowMs);
    }

    private resume(nowMs: number): readonly RequestEffect[] {
        this.resumptionCount += 1;
        return this.resumptionCount > MAX_RESUMPTIONS ? this.abortCaller() : this.tryNextGate(nowMs, true);
    }

    private handleVerdict(attempt: TrackedAttempt, verdict: SettleResult, nowMs: number): readonly RequestEffect[] {
        const isAwaited = attempt.progress === AttemptProgress.Sent || attempt.progress === AttemptProgress.Settling;
        if (!isAwaited) {
            return [];
        }
        switch (verdict) {
            case SettleResult.Voided:
                return [...this.suspectConnection(attempt), ...this.markNotRun(attempt, RefusalReason.Voided, nowMs)];
            case SettleResult.NeverArrived:
                return this.plan.isIdempotent ? this.abandon(attempt, nowMs) : this.requestVoid(attempt);
            case SettleResult.Queued:
            case SettleResult.Started:
                return this.isPastDeadline ? this.replyLocally(Outcome.Unknown, RefusalReason.DeadlinePassed) : this.scheduleQuery(attempt, nowMs);
            case SettleResult.Finished:
                return this.handleFinishedVerdict(attempt, nowMs);
            case SettleResult.Unknown:
                return this.plan.isIdempotent ? this.abandon(attempt, nowMs) : this.replyLocally(Outcome.Unknown, undefined);
            case SettleResult.Unreachable:
                return this.plan.isIdempotent ? this.abandon(attempt, nowMs) : this.scheduleQuery(attempt, nowMs);
            default:
                return assertNever(verdict);
        }
    }

    private handleFinishedVerdict(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        attempt.finishedVerdictCount += 1;
        const isAnswerExpected = attempt.progress === AttemptProgress.Sent
            && attempt.finishedVerdictCount < FINISHED_VERDICTS_BEFORE_FETCH
            && !this.isPastDeadline;
        if (isAnswerExpected) {
            return [this.armQueryTimer(attempt, nowMs + SETTLE_RETRY_DELAY_MS)];
        }
        return this.plan.isIdempotent
            ? this.abandon(attempt, nowMs)
            : [...this.suspectConnection(attempt), ...this.fetchRetainedAnswer(attempt)];
    }

    private suspectConnection(attempt: TrackedAttempt): readonly RequestEffect[] {
        return [
            { kind: RequestEffectKind.SuspectConnection, id: attempt.id, gate: attempt.gate },
            { kind: RequestEffectKind.Cancel, id: attempt.id },
        ];
    }

    private abandon(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        attempt.progress = AttemptProgress.Abandoned;
        return [...this.suspectConnection(attempt), ...this.retry(attempt, false, nowMs)];
    }

    private scheduleQuery(attempt: TrackedAttempt, nowMs: number): readonly RequestEffect[] {
        const waitMs = attempt.progress === AttemptProgress.Settling ? SETTLE_RETRY_DELAY_MS : this.plan.queryAfterMs;
        return [this.armQueryTimer(attempt, nowMs + waitMs)];
    }

    private handleQueryDue(attempt: TrackedAttempt): readonly RequestEffect[] {
        switch (attempt.progress) {
            case AttemptProgress.Sent:
                return [{ kind: RequestEffectKind.Settle, id: attempt.id, gate: attempt.gate, mode: SettleMode.Query }];
            case AttemptProgress.Settling:
                return this.requestVoid(attempt);
            default:
                return [];
        }
    }

    private handleHedgeDue(nowMs: number): readonly RequestEffect[] {
        const open = this.attempts.open;
        const isWaiting = open.length === 1 && open[0]?.progress === AttemptProgress.Sent;
        if (!isWaiting || this.attempts.size >= this.plan.maxAttempts || !this.callbacks.tryWithdrawRetry()) {
            return [];
        }
        const gate = this.callbacks.chooseGate(this.attempts.gates);
        return gate === undefined ? [] : this.tryNextGate(nowMs, false);
    }

    private handleDeadline(nowMs: number): readonly RequestEffect[] {
        if (this.attempts.isDelivering) {
            return [];
        }
        const open = this.attempts.open;
        if (this.plan.isIdempotent) {
            open.forEach((attempt) => attempt.progress = AttemptProgress.Abandoned);
            return [...open.map(cancel), ...this.replyLocally(this.attempts.outcome, RefusalReason.DeadlinePassed)];
        }
        this.isPastDeadline = true;
        return [
            ...open.flatMap((attempt) => this.cancelIfNotStarted(attempt)),
            {
                kind: RequestEffectKind.ArmTimer,
                timer: { kind: RequestEventKind.FinalSettleDue },
                atMs: nowMs + FINAL_SETTLE_TIMEOUT_MS,
            },
        ];
    }

    private cancelIfNotStarted(attempt: TrackedAttempt): readonly RequestEffect[] {
        switch (attempt.progress) {
            case AttemptProgress.Claiming:
                attempt.progress = AttemptProgress.NotRun;
                return [];
            case AttemptProgress.Sent:
            case AttemptProgress.Settling:
                return this.requestVoid(attempt);
            default:
                return [];
        }
    }

    private handleCallerDisconnect(): readonly RequestEffect[] {
        this.hasFinished = true;
        const open = this.attempts.open;
        if (this.plan.isIdempotent) {
            return open.map(cancel);
        }
        const effects = open.flatMap((attempt) => this.cancelIfNotStarted(attempt));
        return [...effects, ...this.releaseClaim()];
    }

    private releaseClaim(): readonly RequestEffect[] {
        const didNotRun = this.attempts.outcome === Outcome.NotRun;
        return this.plan.isClaimRequired && didNotRun ? [{ kind: RequestEffectKind.Release }] : [];
    }

    private abortCaller(): readonly RequestEffect[] {
        this.hasFinished = true;
        return [{ kind: RequestEffectKind.AbortCaller }];
    }

    private replyLocally(outcome: Outcome, reason: RefusalReason | undefined): readonly RequestEffect[] {
        assertInvariant(
            outcome !== Outcome.NotRun || this.attempts.isKnownNotRun,
            "a request answered not-run has no attempt that may have run",
            this.plan.requestId,
        );
        this.hasFinished = true;
        return [
            ...this.attempts.open.map(cancel),
            ...this.releaseClaim(),
            { kind: RequestEffectKind.SendLocalReply, outcome, reason, retryAfterMs: this.retryAfterMs },
        ];
    }

    private armQueryTimer(attempt: TrackedAttempt, atMs: number): RequestEffect {
        return { kind: RequestEffectKind.ArmTimer, timer: { kind: RequestEventKind.QueryDue, id: attempt.id }, atMs };
    }
}

function cancel(attempt: TrackedAttempt): RequestEffect {
    return { kind: RequestEffectKind.Cancel, id: attempt.id };
}
