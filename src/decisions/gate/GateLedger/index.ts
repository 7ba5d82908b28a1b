import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { assertNever } from "../../../model/assertNever/index.js";
import { AttemptId } from "../../../model/AttemptId.js";
import { SettleResult } from "../../../model/SettleResult.js";
import { RefusalReason } from "../../../model/RefusalReason.js";
import { SettleMode } from "../../../model/SettleMode.js";
import { AdmissionQueue } from "../AdmissionQueue/index.js";
import { attemptKey } from "../attemptKey/index.js";
import { AttemptPhase } from "../AttemptPhase.js";
import { EntryLedger } from "../EntryLedger/index.js";
import { GateAttempt } from "../GateAttempt.js";
import { GateEffect } from "../GateEffect.js";
import { GateEffectKind } from "../GateEffectKind.js";
import { GateEvent } from "../GateEvent.js";
import { GateEventKind } from "../GateEventKind.js";
import { GateLimits } from "../GateLimits.js";
import { GateLoad } from "../GateLoad.js";
import { isReservedClass } from "../isReservedClass/index.js";

const ENTRY_RETENTION_MS = 3_600_000;
const DRAIN_QUEUE_GRACE_MS = 2_000;
const INITIAL_SERVICE_MS = 20;
const SERVICE_TIME_WEIGHT = 0.1;
const MIN_RETRY_AFTER_MS = 50;

interface RunningAttempt {
    readonly attempt: GateAttempt;
    readonly startedAtMs: number;
}

/**
 * Decides the fate of every attempt at one endpoint: when it starts, whether it is refused, and what is said of it
 * afterwards. An attempt starts at most once, and never after it was refused or voided.
 *
 * Deterministic: no clock, no input or output. Slots are never exceeded.
 */
export class GateLedger {
    private readonly entries = new Map<string, EntryLedger>();
    private readonly running = new Map<string, RunningAttempt>();
    private readonly queue = AdmissionQueue.create();
    private generalRunning = 0;
    private meanServiceMs = INITIAL_SERVICE_MS;
    private drainStartedAtMs: number | undefined;
    private drainReported = false;
    private limits: GateLimits;

    private constructor(private readonly gate: string, limits: GateLimits) {
        this.limits = limits;
    }

    /**
     * Creates the ledger of an endpoint.
     *
     * @param gate - Incarnation of the gate.
     * @param limits - Slots, connections and queue length.
     */
    static create(gate: string, limits: GateLimits): GateLedger {
        return new GateLedger(gate, limits);
    }

    /** Replaces the limits, as after a change of configuration; running work is not touched. */
    setLimits(limits: GateLimits): void {
        this.limits = limits;
    }

    /** Current load. */
    get load(): GateLoad {
        return { running: this.running.size, queued: this.queue.size, slots: this.limits.slots };
    }

    /** True once a drain has begun. */
    get isDraining(): boolean {
        return this.drainStartedAtMs !== undefined;
    }

    /** Number of attempts remembered, for capacity measurements. */
    get remembered(): number {
        return [...this.entries.values()].reduce((sum, entry) => sum + entry.size, 0);
    }

    /**
     * Takes one event.
     *
     * @param event - What happened.
     * @param nowMs - Time on the gate's clock.
     * @returns Effects to carry out, in order.
     */
    step(event: GateEvent, nowMs: number): readonly GateEffect[] {
        const effects = [...this.decide(event, nowMs), ...this.startQueued(nowMs), ...this.reportDrained()];
        assertInvariant(
            this.running.size <= this.limits.slots || event.kind !== GateEventKind.Arrive,
            "a gate runs no more than its slots",
            this.gate,
        );
        return effects;
    }

    private decide(event: GateEvent, nowMs: number): readonly GateEffect[] {
        switch (event.kind) {
            case GateEventKind.Arrive:
                return this.arrive(event.attempt, nowMs);
            case GateEventKind.Finish:
                return this.finish(event.id, nowMs);
            case GateEventKind.EntryLost:
                return this.loseEntry(event.id, nowMs);
            case GateEventKind.Settle:
                return [{ kind: GateEffectKind.Verdict, id: event.id, verdict: this.settle(event, nowMs) }];
            case GateEventKind.StartDrain:
                this.drainStartedAtMs ??= nowMs;
                return [];
            case GateEventKind.Tick:
                return this.tick(nowMs);
            default:
                return assertNever(event);
        }
    }

    private arrive(attempt: GateAttempt, nowMs: number): readonly GateEffect[] {
        if (attempt.gate !== this.gate) {
            return [refusal(attempt.id, RefusalReason.WrongIncarnation, 0)];
        }
        const entry = this.entry(attempt.id.entry);
        const known = entry.phase(attempt.id.sequence);
        const isSettled = entry.isSettled(attempt.id.sequence);
        entry.advance(attempt.lowWater, nowMs);
        if (known === AttemptPhase.Voided || known === AttemptPhase.Refused || (known === undefined && isSettled)) {
            return [refusal(attempt.id, RefusalReason.Voided, 0)];
        }
        if (known !== undefined) {
            return [refusal(attempt.id, RefusalReason.Duplicate, 0)];
        }
        const reason = this.findRefusal(attempt, nowMs);
        if (reason !== undefined) {
            return [this.refuse(attempt, reason, nowMs)];
        }
        return this.enqueue(attempt, nowMs);
    }

    private findRefusal(attempt: GateAttempt, nowMs: number): RefusalReason | undefined {
        if (this.isDraining) {
            return RefusalReason.Draining;
        }
        if (attempt.deadlineAtMs <= nowMs) {
            return RefusalReason.DeadlinePassed;
        }
        if (this.running.size + this.queue.size >= this.limits.connections) {
            return RefusalReason.Overloaded;
        }
        const waitMs = this.canStart(attempt) ? 0 : this.expectedWaitMs();
        return nowMs + waitMs > attempt.deadlineAtMs ? RefusalReason.Overloaded : undefined;
    }

    private enqueue(attempt: GateAttempt, nowMs: number): readonly GateEffect[] {
        this.setPhase(attempt.id, AttemptPhase.Queued);
        this.queue.push(attempt);
        if (this.queue.size <= this.limits.queue || this.canStart(attempt)) {
            return [];
        }
        return [this.refuse(this.queue.dropFor(attempt), RefusalReason.Overloaded, nowMs)];
    }

    private finish(id: AttemptId, nowMs: number): readonly GateEffect[] {
        const run = this.running.get(attemptKey(id));
        if (run === undefined) {
            return [];
        }
        this.running.delete(attemptKey(id));
        if (!isReservedClass(run.attempt.serviceClass)) {
            this.generalRunning -= 1;
        }
        this.setPhase(id, AttemptPhase.Finished, run.attempt.keyed ? nowMs + this.limits.keyedRetentionMs : 0);
        this.meanServiceMs += SERVICE_TIME_WEIGHT * (nowMs - run.startedAtMs - this.meanServiceMs);
        return [];
    }

    private loseEntry(id: AttemptId, nowMs: number): readonly GateEffect[] {
        const phase = this.entry(id.entry).phase(id.sequence);
        if (phase === AttemptPhase.Queued) {
            this.void(id, nowMs);
            return [];
        }
        const run = this.running.get(attemptKey(id));
        return run?.attempt.idempotent === true ? [{ kind: GateEffectKind.CancelBackend, id }] : [];
    }

    private settle(event: Extract<GateEvent, { kind: GateEventKind.Settle }>, nowMs: number): SettleResult {
        const { id, gate, lowWater, keyed, mode } = event;
        if (gate !== this.gate) {
            return SettleResult.Unknown;
        }
        const entry = this.entry(id.entry);
        const phase = entry.phase(id.sequence);
        const isSettled = entry.isSettled(id.sequence);
        entry.advance(lowWater, nowMs);
        switch (phase) {
            case undefined:
                if (isSettled) {
                    return keyed ? this.void(id, nowMs) : SettleResult.Unknown;
                }
                return mode === SettleMode.Void ? this.void(id, nowMs) : SettleResult.NeverArrived;
            case AttemptPhase.Queued:
                return mode === SettleMode.Void ? this.void(id, nowMs) : SettleResult.Queued;
            case AttemptPhase.Refused:
            case AttemptPhase.Voided:
                return SettleResult.Voided;
            case AttemptPhase.Started:
                return SettleResult.Started;
            case AttemptPhase.Finished:
                return SettleResult.Finished;
            default:
                return assertNever(phase);
        }
    }

    private void(id: AttemptId, nowMs: number): SettleResult {
        this.queue.remove(attemptKey(id));
        this.setPhase(id, AttemptPhase.Voided, nowMs + this.limits.keyedRetentionMs);
        return SettleResult.Voided;
    }

    private tick(nowMs: number): readonly GateEffect[] {
        const idleSinceMs = nowMs - ENTRY_RETENTION_MS;
        [...this.entries].filter(([, entry]) => entry.isIdleSince(idleSinceMs, nowMs)).forEach(([name]) => this.entries.delete(name));
        const drainExpired = this.drainStartedAtMs !== undefined && nowMs >= this.drainStartedAtMs + DRAIN_QUEUE_GRACE_MS;
        if (drainExpired) {
            return this.queue.removeWhere(() => true).map((attempt) => this.refuse(attempt, RefusalReason.Draining, nowMs));
        }
        return this.queue.removeWhere((attempt) => attempt.deadlineAtMs <= nowMs)
            .map((attempt) => this.refuse(attempt, RefusalReason.DeadlinePassed, nowMs));
    }

    private startQueued(nowMs: number): readonly GateEffect[] {
        const effects: GateEffect[] = [];
        for (let next = this.takeNext(); next !== undefined; next = this.takeNext()) {
            if (next.deadlineAtMs <= nowMs) {
                effects.push(this.refuse(next, RefusalReason.DeadlinePassed, nowMs));
            }
            else {
                effects.push(this.start(next, nowMs));
            }
        }
        return effects;
    }

    private takeNext(): GateAttempt | undefined {
        if (this.running.size >= this.limits.slots) {
            return undefined;
        }
        return this.queue.shift(this.generalRunning < this.generalSlots);
    }

    private start(attempt: GateAttempt, nowMs: number): GateEffect {
        const phase = this.entry(attempt.id.entry).phase(attempt.id.sequence);
        assertInvariant(phase === AttemptPhase.Queued, "an attempt starts once and never after it was refused or voided", attemptKey(attempt.id));
        this.running.set(attemptKey(attempt.id), { attempt, startedAtMs: nowMs });
        if (!isReservedClass(attempt.serviceClass)) {
            this.generalRunning += 1;
        }
        this.setPhase(attempt.id, AttemptPhase.Started);
        return { kind: GateEffectKind.Start, id: attempt.id };
    }

    private refuse(attempt: GateAttempt, reason: RefusalReason, nowMs: number): GateEffect {
        this.setPhase(attempt.id, AttemptPhase.Refused, attempt.keyed ? nowMs + this.limits.keyedRetentionMs : 0);
        return refusal(attempt.id, reason, Math.max(MIN_RETRY_AFTER_MS, Math.round(this.expectedWaitMs())));
    }

    private reportDrained(): readonly GateEffect[] {
        if (!this.isDraining || this.drainReported || this.running.size + this.queue.size > 0) {
            return [];
        }
        this.drainReported = true;
        return [{ kind: GateEffectKind.Drained }];
    }

    private canStart(attempt: GateAttempt): boolean {
        const hasSlot = this.running.size < this.limits.slots;
        return hasSlot && (isReservedClass(attempt.serviceClass) || this.generalRunning < this.generalSlots);
    }

    private expectedWaitMs(): number {
        return (this.queue.size + 1) * this.meanServiceMs / this.limits.slots;
    }

    private get generalSlots(): number {
        return this.limits.slots - this.limits.reservedSlots;
    }

    private setPhase(id: AttemptId, phase: AttemptPhase, keepUntilMs = 0): void {
        this.entry(id.entry).set(id.sequence, phase, keepUntilMs);
    }

    private entry(name: string): EntryLedger {
        const known = this.entries.get(name);
        if (known !== undefined) {
            return known;
        }
        const created = EntryLedger.create();
        this.entries.set(name, created);
        return created;
    }
}

function refusal(id: AttemptId, reason: RefusalReason, retryAfterMs: number): GateEffect {
    return { kind: GateEffectKind.Refuse, id, reason, retryAfterMs };
}
