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
import { ClaimPlan } from "../ClaimPlan.js";
import { majorityOf } from "../majorityOf/index.js";
import { RosterWitness } from "../RosterWitness.js";
import { WitnessReply } from "../WitnessReply.js";
import { WitnessReplyKind } from "../WitnessReplyKind.js";
import { WitnessRequest } from "../WitnessRequest.js";
import { WitnessRequestKind } from "../WitnessRequestKind.js";

const ROUND_MS = 300;
const ASK_AGAIN_MS = 100;
const MAX_ROUNDS_WITHOUT_MAJORITY = 4;

/**
 * Wins an idempotency key for the attempts of one request at a majority of its witnesses, and finds out what became of
 * the attempts of earlier claimants. Majorities intersect, so two claimants can both hold one only if the attempts of
 * one of them are known to be void.
 *
 * Deterministic: no clock, no input or output.
 */
export class ClaimMachine {
    private readonly attempts: ClaimedAttempt[] = [];
    private readonly voided = new Set<string>();
    private readonly others = new Map<string, ClaimedAttempt>();
    private replies = new Map<string, WitnessReply>();
    private phase = ClaimPhase.Idle;
    private round = 0;
    private askedAtMs = 0;
    private fruitlessRounds = 0;

    private constructor(private readonly plan: ClaimPlan) {}

    /** Creates the machine of a keyed request. */
    static create(plan: ClaimPlan): ClaimMachine {
        return new ClaimMachine(plan);
    }

    /** Requests that give the key up at every witness, for a request that did not run. */
    release(): readonly ClaimEffect[] {
        const request: WitnessRequest = { kind: WitnessRequestKind.Release, key: this.plan.key, claimant: this.plan.claimant };
        return this.witnesses.map((witness) => ({ kind: ClaimEffectKind.Ask, round: 0, witness, request }));
    }

    /**
     * Takes one event.
     *
     * @param event - What happened.
     * @param nowMs - Time on the entry's clock.
     * @returns Effects to carry out, in order.
     */
    step(event: ClaimEvent, nowMs: number): readonly ClaimEffect[] {
        switch (event.kind) {
            case ClaimEventKind.Want:
                this.attempts.forEach((earlier) => this.voided.add(attemptKey(earlier.id)));
                this.attempts.push(event.attempt);
                this.fruitlessRounds = 0;
                return this.ask(nowMs);
            case ClaimEventKind.Reply:
                return this.takeReply(event.round, event.vm, event.reply, nowMs);
            case ClaimEventKind.RoundOver:
                return this.endRound(event.round, nowMs);
            case ClaimEventKind.Settled:
                return this.takeVerdict(event.id, event.verdict, nowMs);
            default:
                return assertNever(event);
        }
    }

    private ask(nowMs: number): readonly ClaimEffect[] {
        this.phase = ClaimPhase.Asking;
        this.round += 1;
        this.askedAtMs = nowMs;
        this.replies = new Map();
        const request: WitnessRequest = {
            kind: WitnessRequestKind.Claim,
            key: this.plan.key,
            epoch: this.plan.epoch,
            claim: { claimant: this.plan.claimant, digest: this.plan.digest, attempts: [this.current] },
            voided: [...this.voided],
        };
        return [
            ...this.witnesses.map((witness): ClaimEffect => ({ kind: ClaimEffectKind.Ask, round: this.round, witness, request })),
            { kind: ClaimEffectKind.ArmRound, round: this.round, atMs: nowMs + ROUND_MS },
        ];
    }

    private takeReply(round: number, vm: string, reply: WitnessReply, nowMs: number): readonly ClaimEffect[] {
        const isLate = nowMs - this.askedAtMs > ROUND_MS;
        if (round !== this.round || this.phase !== ClaimPhase.Asking || isLate) {
            return [];
        }
        this.replies.set(vm, reply);
        if (this.hasMajority((candidate) => candidate.kind === WitnessReplyKind.Granted)) {
            this.phase = ClaimPhase.Idle;
            return [{ kind: ClaimEffectKind.Granted, attempt: this.current }];
        }
        return this.replies.size === this.witnesses.length ? this.endRound(round, nowMs) : [];
    }

    private endRound(round: number, nowMs: number): readonly ClaimEffect[] {
        if (round !== this.round) {
            return [];
        }
        switch (this.phase) {
            case ClaimPhase.Asking:
                return this.concludeRound(nowMs);
            case ClaimPhase.Settling:
                return nowMs >= this.plan.deadlineAtMs ? this.giveUp() : this.askGates(nowMs);
            case ClaimPhase.Waiting:
                return nowMs >= this.plan.deadlineAtMs ? this.deny(RefusalReason.NoWitnessMajority) : this.ask(nowMs);
            case ClaimPhase.Idle:
                return [];
            default:
                return assertNever(this.phase);
        }
    }

    private concludeRound(nowMs: number): readonly ClaimEffect[] {
        if (this.hasOtherDigest()) {
            return this.deny(RefusalReason.KeyBodyMismatch);
        }
        if (!this.hasMajority((reply) => reply.kind !== WitnessReplyKind.Abstains)) {
            return this.retryRound(nowMs);
        }
        this.collectOthers();
        return this.others.size > 0 ? this.askGates(nowMs) : this.retryRound(nowMs);
    }

    private retryRound(nowMs: number): readonly ClaimEffect[] {
        this.fruitlessRounds += 1;
        if (this.fruitlessRounds >= MAX_ROUNDS_WITHOUT_MAJORITY || nowMs >= this.plan.deadlineAtMs) {
            return this.deny(RefusalReason.NoWitnessMajority);
        }
        this.phase = ClaimPhase.Waiting;
        this.round += 1;
        return [{ kind: ClaimEffectKind.ArmRound, round: this.round, atMs: nowMs + ASK_AGAIN_MS }];
    }

    private askGates(nowMs: number): readonly ClaimEffect[] {
        this.phase = ClaimPhase.Settling;
        this.round += 1;
        return [
            ...[...this.others.values()].map((attempt): ClaimEffect => ({ kind: ClaimEffectKind.Settle, attempt, mode: SettleMode.Void })),
            { kind: ClaimEffectKind.ArmRound, round: this.round, atMs: nowMs + ASK_AGAIN_MS },
        ];
    }

    private takeVerdict(id: AttemptId, verdict: SettleResult, nowMs: number): readonly ClaimEffect[] {
        const other = this.others.get(attemptKey(id));
        if (other === undefined || this.phase !== ClaimPhase.Settling) {
            return [];
        }
        switch (verdict) {
            case SettleResult.Voided:
                this.others.delete(attemptKey(id));
                this.voided.add(attemptKey(id));
                return this.others.size === 0 ? this.ask(nowMs) : [];
            case SettleResult.Finished:
                this.phase = ClaimPhase.Idle;
                return [{ kind: ClaimEffectKind.Found, attempt: this.current, other }];
            case SettleResult.Unknown:
                return this.giveUp();
            case SettleResult.NeverArrived:
            case SettleResult.Queued:
            case SettleResult.Started:
            case SettleResult.Unreachable:
                return [];
            default:
                return assertNever(verdict);
        }
    }

    private giveUp(): readonly ClaimEffect[] {
        this.phase = ClaimPhase.Idle;
        return [{ kind: ClaimEffectKind.Unknown, attempt: this.current }];
    }

    private deny(reason: RefusalReason): readonly ClaimEffect[] {
        this.phase = ClaimPhase.Idle;
        return [{ kind: ClaimEffectKind.Denied, attempt: this.current, reason }];
    }

    private collectOthers(): void {
        this.others.clear();
        for (const reply of this.replies.values()) {
            const attempts = reply.kind === WitnessReplyKind.Held ? reply.claim.attempts : [];
            attempts
                .filter((attempt) => !this.voided.has(attemptKey(attempt.id)) && attemptKey(attempt.id) !== attemptKey(this.current.id))
                .forEach((attempt) => this.others.set(attemptKey(attempt.id), attempt));
        }
    }

    private hasOtherDigest(): boolean {
        return [...this.replies.values()].some((reply) => reply.kind === WitnessReplyKind.Held && reply.claim.digest !== this.plan.digest);
    }

    private hasMajority(condition: (reply: WitnessReply) => boolean): boolean {
        return this.plan.witnessSets.every((set) => {
            const votes = set.filter((witness) => {
                const reply = this.replies.get(witness.vm);
                return reply !== undefined && condition(reply);
            });
            return votes.length >= majorityOf(set.length);
        });
    }

    private get witnesses(): readonly RosterWitness[] {
        const byVm = new Map(this.plan.witnessSets.flat().map((witness) => [witness.vm, witness]));
        return [...byVm.values()];
    }

    private get current(): ClaimedAttempt {
        const attempt = this.attempts.at(-1);
        if (attempt === undefined) {
            throw new Error("a claim machine takes no events before an attempt is wanted");
        }
        return attempt;
    }
}
