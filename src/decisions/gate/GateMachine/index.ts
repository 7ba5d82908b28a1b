import { assertInvariant } from "../../../invariants/assertInvariant/index.js";
import { assertNever } from "../../../model/assertNever/index.js";
import { AttemptId } from "../../../model/AttemptId.js";
import { SettleResult } from "../../../model/SettleResult.js";
import { RefusalReason } from "../../../model/RefusalReason.js";
import { SettleMode } from "../../../model/SettleMode.js";
import { AdmissionQueue } from "../AdmissionQueue/index.js";
import { attemptKey } from "../attemptKey/index.js";
import { AttemptPhase } from "../AttemptPhase.js";
import { EntryAttemptTable } from "../EntryAttemptTable/index.js";
import { GateAttempt } from "../GateAttempt.js";
import { GateEffect } from "../GateEffect.js";
import { GateEffectKind } from "../GateEffectKind.js";
import { GateEvent } from "../GateEvent.js";
import { GateEventKind } from "../GateEventKind.js";
import { GateLimits } from "../GateLimits.js";
import { GateLoad } from "../GateLoad.js";
import { isReservedClass } from "../isReservedClass/index.js";

/** Time without contact after which the records of an entry incarnation are deleted, in ms. */
const ENTRY_RETENTION_MS = 3_600_000;
/** Time for which queued attempts can still start during a drain, in ms; then they are refused. */
const DRAIN_GRACE_MS = 2_000;
const INITIAL_SERVICE_TIME_MS = 20;
/** Weight of the latest attempt in the moving average of the service time. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Shortest delay after which a refused entry is asked to retry, in ms. */
const MIN_RETRY_AFTER_MS = 50;

interface RunningAttempt {
    readonly attempt: GateAttempt;
    readonly startedAtMs: number;
}

/**
 * State machine of the gate of one endpoint: decides when an attempt starts, whether it is refused, and which verdict
 * about it is given to entries that ask. An attempt starts at most once, never after it was refused or voided, and never
 * while all slots are taken.
 *
 * Deterministic: no clock, no I/O.
 */
export class GateMachine {
    private readonly entries = new Map<string, EntryAttemptTable>();
    private readonly running = new Map<string, RunningAttempt>();
    private readonly queue = AdmissionQueue.create();
    private generalRunning = 0;
    private meanServiceTimeMs = INITIAL_SERVICE_TIME_MS;
    private drainStartedAtMs: number | undefined;
    private isDrainReported = false;
    private limits: GateLimits;

    private constructor(private readonly gate: string, limits: GateLimits) {
        this.limits = limits;
    }

    /**
     * Creates the state machine of an endpoint's gate.
     *
     * @param gate - Incarnation of the gate.
     * @param limits - Limits of the endpoint.
     */
    static create(gate: string, limits: GateLimits): GateMachine {
        return new GateMachine(gate, limits);
    }

    /** Replaces the limits after a change of configuration; running attempts are not affected. */
    setLimits(limits: GateLimits): void {
        this.limits = limits;
    }

    /** Current load. */
    get load(): GateLoad {
        return { running: this.running.size, queued: this.queue.size, slots: this.limits.slots };
    }

    /** Whether a drain has begun. */
    get isDraining(): boolean {
        return this.drainStartedAtMs !== undefined;
    }

    /** Number of recorded attempts, for capacity measurements. */
    get trackedAttemptCount(): number {
        return [...this.entries.values()].reduce((sum, entry) => sum + entry.size, 0);
    }

    /**
     * Handles one event.
     *
     * @param event - Event to handle.
     * @param nowMs - Current time on the gate's clock, in ms.
     * @returns Effects to execute, in order.
     */
    step(event: GateEvent, nowMs: number): readonly GateEffect[] {
        const effects = [...this.handleEvent(event, nowMs), ...this.startQueued(nowMs), ...this.reportDrained()];
        assertInvariant(
            this.running.size <= this.limits.slots || event.kind !== GateEventKind.Arrive,
            "a gate runs no more attempts than it has slots",
            this.gate,
        );
        return effects;
    }

    private handleEvent(event: GateEvent, nowMs: number): readonly GateEffect[] {
        switch (event.kind) {
            case GateEventKind.Arrive:
                return this.handleArrival(event.attempt, nowMs);
            case GateEventKind.Finish:
                return this.handleFinish(event.id, nowMs);
            case GateEventKind.EntryDisconnected:
                return this.handleEntryDisconnect(event.id, nowMs);
            case GateEventKind.Settle:
                return [{ kind: GateEffectKind.Verdict, id: event.id, verdict: this.handleSettle(event, nowMs) }];
            case GateEventKind.StartDrain:
                this.drainStartedAtMs ??= nowMs;
                return [];
            case GateEventKind.Tick:
                return this.handleTick(nowMs);
            default:
                return assertNever(event);
        }
    }

    private handleArrival(attempt: GateAttempt, nowMs: number): readonly GateEffect[] {
        if (attempt.gate !== this.gate) {
            return [createRefusal(attempt.id, RefusalReason.WrongIncarnation, 0)];
        }
        const entry = this.getOrCreateEntry(attempt.id.entry);
        const recordedPhase = entry.phase(attempt.id.sequence);
        const isBelowLowWater = entry.isBelowLowWater(attempt.id.sequence);
        entry.advanceLowWater(attempt.lowWater, nowMs);
        if (
            recordedPhase === AttemptPhase.Voided
            || recordedPhase === AttemptPhase.Refused
            || (recordedPhase === undefined && isBelowLowWater)
        ) {
            return [createRefusal(attempt.id, RefusalReason.Voided, 0)];
        }
        if (recordedPhase !== undefined) {
            return [createRefusal(attempt.id, RefusalReason.Duplicate, 0)];
        }
        const reason = this.findRefusalReason(attempt, nowMs);
        if (reason !== undefined) {
            return [this.refuse(attempt, reason, nowMs)];
        }
        return this.enqueue(attempt, nowMs);
    }

    private findRefusalReason(attempt: GateAttempt, nowMs: number): RefusalReason | undefined {
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
        return [this.refuse(this.queue.evictFor(attempt), RefusalReason.Overloaded, nowMs)];
    }

    private handleFinish(id: AttemptId, nowMs: number): readonly GateEffect[] {
        const finished = this.running.get(attemptKey(id));
        if (finished === undefined) {
            return [];
        }
        this.running.delete(attemptKey(id));
        if (!isReservedClass(finished.attempt.serviceClass)) {
            this.generalRunning -= 1;
        }
        this.setPhase(id, AttemptPhase.Finished, finished.attempt.keyed ? nowMs + this.limits.keyedRetentionMs : 0);
        this.meanServiceTimeMs += SERVICE_TIME_WEIGHT * (nowMs - finished.startedAtMs - this.meanServiceTimeMs);
        return [];
    }

    private handleEntryDisconnect(id: AttemptId, nowMs: number): readonly GateEffect[] {
        const phase = this.getOrCreateEntry(id.entry).phase(id.sequence);
        if (phase === AttemptPhase.Queued) {
            this.voidAttempt(id, nowMs);
            return [];
        }
        const runningAttempt = this.running.get(attemptKey(id));
        return runningAttempt?.attempt.isIdempotent === true ? [{ kind: GateEffectKind.CancelBackend, id }] : [];
    }

    private handleSettle(event: Extract<GateEvent, { kind: GateEventKind.Settle }>, nowMs: number): SettleResult {
        const { id, gate, lowWater, keyed, mode } = event;
        if (gate !== this.gate) {
            return SettleResult.Unknown;
        }
        const entry = this.getOrCreateEntry(id.entry);
        const phase = entry.phase(id.sequence);
        const isBelowLowWater = entry.isBelowLowWater(id.sequence);
        entry.advanceLowWater(lowWater, nowMs);
        switch (phase) {
            case undefined:
                if (isBelowLowWater) {
                    return keyed ? this.voidAttempt(id, nowMs) : SettleResult.Unknown;
                }
                return mode === SettleMode.Void ? this.voidAttempt(id, nowMs) : SettleResult.NeverArrived;
            case AttemptPhase.Queued:
                return mode === SettleMode.Void ? this.voidAttempt(id, nowMs) : SettleResult.Queued;
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

    private voidAttempt(id: AttemptId, nowMs: number): SettleResult {
        this.queue.remove(attemptKey(id));
        this.setPhase(id, AttemptPhase.Voided, nowMs + this.limits.keyedRetentionMs);
        return SettleResult.Voided;
    }

    private handleTick(nowMs: number): readonly GateEffect[] {
        const idleSinceMs = nowMs - ENTRY_RETENTION_MS;
        [...this.entries].filter(([, entry]) => entry.isIdleSince(idleSinceMs, nowMs)).forEach(([name]) => this.entries.delete(name));
        const isDrainGraceOver = this.drainStartedAtMs !== undefined && nowMs >= this.drainStartedAtMs + DRAIN_GRACE_MS;
        if (isDrainGraceOver) {
            return this.queue.removeWhere(() => true).map((attempt) => this.refuse(attempt, RefusalReason.Draining, nowMs));
        }
        return this.queue.removeWhere((attempt) => attempt.deadlineAtMs <= nowMs)
            .map((attempt) => this.refuse(attempt, RefusalReason.DeadlinePassed, nowMs));
    }

    private startQueued(nowMs: number): readonly GateEffect[] {
        const effects: GateEffect[] = [];
        for (let next = this.dequeue(); next !== undefined; next = this.dequeue()) {
            if (next.deadlineAtMs <= nowMs) {
                effects.push(this.refuse(next, RefusalReason.DeadlinePassed, nowMs));
            }
            else {
                effects.push(this.start(next, nowMs));
            }
        }
        return effects;
    }

    private dequeue(): GateAttempt | undefined {
        if (this.running.size >= this.limits.slots) {
            return undefined;
        }
        return this.queue.shift(this.generalRunning < this.generalSlots);
    }

    private start(attempt: GateAttempt, nowMs: number): GateEffect {
        const phase = this.getOrCreateEntry(attempt.id.entry).phase(attempt.id.sequence);
        assertInvariant(phase === AttemptPhase.Queued, "an attempt starts once, and never after it was refused or voided", attemptKey(attempt.id));
        this.running.set(attemptKey(attempt.id), { attempt, startedAtMs: nowMs });
        if (!isReservedClass(attempt.serviceClass)) {
            this.generalRunning += 1;
        }
        this.setPhase(attempt.id, AttemptPhase.Started);
        return { kind: GateEffectKind.Start, id: attempt.id };
    }

    private refuse(attempt: GateAttempt, reason: RefusalReason, nowMs: number): GateEffect {
        this.setPhase(attempt.id, AttemptPhase.Refused, attempt.keyed ? nowMs + this.limits.keyedRetentionMs : 0);
        return createRefusal(attempt.id, reason, Math.max(MIN_RETRY_AFTER_MS, Math.round(this.expectedWaitMs())));
    }

    private reportDrained(): readonly GateEffect[] {
        if (!this.isDraining || this.isDrainReported || this.running.size + this.queue.size > 0) {
            return [];
        }
        this.isDrainReported = true;
        return [{ kind: GateEffectKind.Drained }];
    }

    private canStart(attempt: GateAttempt): boolean {
        const hasSlot = this.running.size < this.limits.slots;
        return hasSlot && (isReservedClass(attempt.serviceClass) || this.generalRunning < this.generalSlots);
    }

    private expectedWaitMs(): number {
        return (this.queue.size + 1) * this.meanServiceTimeMs / this.limits.slots;
    }

    private get generalSlots(): number {
        return this.limits.slots - this.limits.reservedSlots;
    }

    private setPhase(id: AttemptId, phase: AttemptPhase, keepUntilMs = 0): void {
        this.getOrCreateEntry(id.entry).set(id.sequence, phase, keepUntilMs);
    }

    private getOrCreateEntry(name: string): EntryAttemptTable {
        const existing = this.entries.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const created = EntryAttemptTable.create();
        this.entries.set(name, created);
        return created;
    }
}

function createRefusal(id: AttemptId, reason: RefusalReason, retryAfterMs: number): GateEffect {
    return { kind: GateEffectKind.Refuse, id, reason, retryAfterMs };
}
