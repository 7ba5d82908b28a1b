import { assertNever } from "../../../model/assertNever/index.js";
import { AttemptId } from "../../../model/AttemptId.js";
import { SettleResult } from "../../../model/SettleResult.js";
import { RefusalReason } from "../../../model/RefusalReason.js";
import { SettleMode } from "../../../model/SettleMode.js";
import { attemptKey } from "../../gate/attemptKey/index.js";
import { ClaimedAttempt } from "../ClaimedAttempt.js";
import { ClaimEffect } from "../ClaimEffect.js";
import { ClaimEffectKind } from "../ClaimEffectKind.js";
import { ClaimEvent } from "../ClaimEvent.js";
import { ClaimEventKind } from "../ClaimEventKind.js";
import { ClaimPhase } from "../ClaimPhase.js";
import { ClaimParameters } from "../ClaimParameters.js";
import { majorityOf } from "../majorityOf/index.js";
import { RosterWitness } from "../RosterWitness.js";
import { WitnessReply } from "../WitnessReply.js";
import { WitnessReplyKind } from "../WitnessReplyKind.js";
import { WitnessRequest } from "../WitnessRequest.js";
import { WitnessRequestKind } from "../WitnessRequestKind.js";

/** Time in which replies to a round count, in ms; shorter than the copy delay of a restarted witness in `ClaimTable`. */
const ROUND_TIMEOUT_MS = 300;
/** Delay before the next round or the next query to a gate, in ms. */
const RETRY_DELAY_MS = 100;
const MAX_FAILED_ROUNDS = 4;

/**
 * Decides whether an attempt of a request may be sent under its idempotency key. It acquires the key at a majority of the
 * key's witnesses and determines the outcomes of attempts of earlier claimants. Majorities intersect, so two claimants can
 * both have one only if all attempts of one of them are known to be void.
 *
 * Deterministic: it reads no clock and does no input or output.
 */
export class ClaimMachine {
    private readonly attempts: ClaimedAttempt[] = [];
    private readonly voided = new Set<string>();
    private readonly conflicts = new Map<string, ClaimedAttempt>();
    private replies = new Map<string, WitnessReply>();
    private phase = ClaimPhase.Idle;
    private round = 0;
    private roundStartedAtMs = 0;
    private failedRounds = 0;

    private constructor(private readonly parameters: ClaimParameters) {}

    /** Creates the claim machine of a request with an idempotency key. */
    static create(parameters: ClaimParameters): ClaimMachine {
        return new ClaimMachine(parameters);
    }

    /** Returns effects that release the key at every witness, for a request that did not run. */
    release(): readonly ClaimEffect[] {
        const request: WitnessRequest = { kind: WitnessRequestKind.Release, key: this.parameters.key, claimant: this.parameters.claimant };
        return this.witnesses.map((witness) => ({ kind: ClaimEffectKind.SendRequest, round: 0, witness, request }));
    }

    /**
     * Processes one event.
     *
     * @param event - The input.
     * @param nowMs - Time on the clock of the entry, in ms.
     * @returns Effects to execute, in order.
     */
    step(event: ClaimEvent, nowMs: number): readonly ClaimEffect[] {
        switch (event.kind) {
            case ClaimEventKind.AttemptRequested:
                this.attempts.forEach((earlier) => this.voided.add(attemptKey(earlier.id)));
                this.attempts.push(event.attempt);
                this.failedRounds = 0;
                return this.startRound(nowMs);
            case ClaimEventKind.Reply:
                return this.handleReply(event.round, event.vm, event.reply, nowMs);
            case ClaimEventKind.RoundTimeout:
                return this.finishRound(event.round, nowMs);
            case ClaimEventKind.VerdictReceived:
                return this.handleVerdict(event.id, event.verdict, nowMs);
            default:
                return assertNever(event);
        }
    }

    private startRound(nowMs: number): readonly ClaimEffect[] {
        this.phase = ClaimPhase.CollectingVotes;
        this.round += 1;
        this.roundStartedAtMs = nowMs;
        this.replies = new Map();
        const request: WitnessRequest = {
            kind: WitnessRequestKind.Claim,
            key: this.parameters.key,
            epoch: this.parameters.epoch,
            claim: { claimant: this.parameters.claimant, digest: this.parameters.digest, attempts: [this.currentAttempt] },
            voided: [...this.voided],
        };
        return [
            ...this.witnesses.map((witness): ClaimEffect => ({ kind: ClaimEffectKind.SendRequest, round: this.round, witness, request })),
            { kind: ClaimEffectKind.StartRoundTimer, round: this.round, atMs: nowMs + ROUND_TIMEOUT_MS },
        ];
    }

    private handleReply(round: number, vm: string, reply: WitnessReply, nowMs: number): readonly ClaimEffect[] {
        const isLate = nowMs - this.roundStartedAtMs > ROUND_TIMEOUT_MS;
        if (round !== this.round || this.phase !== ClaimPhase.CollectingVotes || isLate) {
            return [];
        }
        this.replies.set(vm, reply);
        if (this.hasMajority((candidate) => candidate.kind === WitnessReplyKind.Granted)) {
            this.phase = ClaimPhase.Idle;
            return [{ kind: ClaimEffectKind.Granted, attempt: this.currentAttempt }];
        }
        return this.replies.size === this.witnesses.length ? this.finishRound(round, nowMs) : [];
    }

    private finishRound(round: number, nowMs: number): readonly ClaimEffect[] {
        if (round !== this.round) {
            return [];
        }
        switch (this.phase) {
            case ClaimPhase.CollectingVotes:
                return this.evaluateReplies(nowMs);
            case ClaimPhase.SettlingConflicts:
                return nowMs >= this.parameters.deadlineAtMs ? this.reportUnknownOutcome() : this.queryGates(nowMs);
            case ClaimPhase.BackingOff:
                return nowMs >= this.parameters.deadlineAtMs ? this.deny(RefusalReason.NoWitnessMajority) : this.startRound(nowMs);
            case ClaimPhase.Idle:
                return [];
            default:
                return assertNever(this.phase);
        }
    }

    private evaluateReplies(nowMs: number): readonly ClaimEffect[] {
        if (this.hasDigestMismatch()) {
            return this.deny(RefusalReason.KeyBodyMismatch);
        }
        if (!this.hasMajority((reply) => reply.kind !== WitnessReplyKind.Abstains)) {
            return this.scheduleRetry(nowMs);
        }
        this.collectConflicts();
        return this.conflicts.size > 0 ? this.queryGates(nowMs) : this.scheduleRetry(nowMs);
    }

    private scheduleRetry(nowMs: number): readonly ClaimEffect[] {
        this.failedRounds += 1;
        if (this.failedRounds >= MAX_FAILED_ROUNDS || nowMs >= this.parameters.deadlineAtMs) {
            return this.deny(RefusalReason.NoWitnessMajority);
        }
        this.phase = ClaimPhase.BackingOff;
        this.round += 1;
        return [{ kind: ClaimEffectKind.StartRoundTimer, round: this.round, atMs: nowMs + RETRY_DELAY_MS }];
    }

    private queryGates(nowMs: number): readonly ClaimEffect[] {
        this.phase = ClaimPhase.SettlingConflicts;
        this.round += 1;
        return [
            ...[...this.conflicts.values()].map((attempt): ClaimEffect => ({ kind: ClaimEffectKind.Settle, attempt, mode: SettleMode.Void })),
            { kind: ClaimEffectKind.StartRoundTimer, round: this.round, atMs: nowMs + RETRY_DELAY_MS },
        ];
    }

    private handleVerdict(id: AttemptId, verdict: SettleResult, nowMs: number): readonly ClaimEffect[] {
        const other = this.conflicts.get(attemptKey(id));
        if (other === undefined || this.phase !== ClaimPhase.SettlingConflicts) {
            return [];
        }
        switch (verdict) {
            case SettleResult.Voided:
                this.conflicts.delete(attemptKey(id));
                this.voided.add(attemptKey(id));
                return this.conflicts.size === 0 ? this.startRound(nowMs) : [];
            case SettleResult.Finished:
                this.phase = ClaimPhase.Idle;
                return [{ kind: ClaimEffectKind.AlreadyExecuted, attempt: this.currentAttempt, other }];
            case SettleResult.Unknown:
                return this.reportUnknownOutcome();
            case SettleResult.NeverArrived:
            case SettleResult.Queued:
            case SettleResult.Started:
            case SettleResult.Unreachable:
                return [];
            default:
                return assertNever(verdict);
        }
    }

    private reportUnknownOutcome(): readonly ClaimEffect[] {
        this.phase = ClaimPhase.Idle;
        return [{ kind: ClaimEffectKind.OutcomeUnknown, attempt: this.currentAttempt }];
    }

    private deny(reason: RefusalReason): readonly ClaimEffect[] {
        this.phase = ClaimPhase.Idle;
        return [{ kind: ClaimEffectKind.Denied, attempt: this.currentAttempt, reason }];
    }

    private collectConflicts(): void {
        this.conflicts.clear();
        for (const reply of this.replies.values()) {
            const attempts = reply.kind === WitnessReplyKind.Held ? reply.claim.attempts : [];
            attempts
                .filter((attempt) => !this.voided.has(attemptKey(attempt.id)) && attemptKey(attempt.id) !== attemptKey(this.currentAttempt.id))
                .forEach((attempt) => this.conflicts.set(attemptKey(attempt.id), attempt));
        }
    }

    private hasDigestMismatch(): boolean {
        return [...this.replies.values()].some((reply) => reply.kind === WitnessReplyKind.Held && reply.claim.digest !== this.parameters.digest);
    }

    private hasMajority(condition: (reply: WitnessReply) => boolean): boolean {
        return this.parameters.witnessSets.every((set) => {
            const votes = set.filter((witness) => {
                const reply = this.replies.get(witness.vm);
                return reply !== undefined && condition(reply);
            });
            return votes.length >= majorityOf(set.length);
        });
    }

    private get witnesses(): readonly RosterWitness[] {
        const byVm = new Map(this.parameters.witnessSets.flat().map((witness) => [witness.vm, witness]));
        return [...byVm.values()];
    }

    private get currentAttempt(): ClaimedAttempt {
        const attempt = this.attempts.at(-1);
        if (attempt === undefined) {
            throw new Error("a claim machine needs a requested attempt before any other event");
        }
        return attempt;
    }
}
