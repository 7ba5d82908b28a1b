import { ClaimEffect } from "../../../src/decisions/claims/ClaimEffect.js";
import { ClaimEffectKind } from "../../../src/decisions/claims/ClaimEffectKind.js";
import { ClaimEvent } from "../../../src/decisions/claims/ClaimEvent.js";
import { ClaimEventKind } from "../../../src/decisions/claims/ClaimEventKind.js";
import { ClaimMachine } from "../../../src/decisions/claims/ClaimMachine/index.js";
import { attemptKey } from "../../../src/decisions/gate/attemptKey/index.js";
import { RequestEffect } from "../../../src/decisions/requests/RequestEffect.js";
import { RequestEffectKind } from "../../../src/decisions/requests/RequestEffectKind.js";
import { RequestEvent } from "../../../src/decisions/requests/RequestEvent.js";
import { RequestEventKind } from "../../../src/decisions/requests/RequestEventKind.js";
import { RequestMachine } from "../../../src/decisions/requests/RequestMachine/index.js";
import { assertNever } from "../../../src/model/assertNever/index.js";
import { AttemptId } from "../../../src/model/AttemptId.js";
import { SettleResult } from "../../../src/model/SettleResult.js";
import { GateRef } from "../../../src/model/GateRef.js";
import { Outcome } from "../../../src/model/Outcome.js";
import { RefusalReason } from "../../../src/model/RefusalReason.js";
import { ServiceClass } from "../../../src/model/ServiceClass.js";
import { SettleMode } from "../../../src/model/SettleMode.js";
import { GateAnswer } from "../GateAnswer.js";
import { SentAttempt } from "../SentAttempt.js";
import { SoakNode } from "../SoakNode/index.js";
import { SoakRequestSpec } from "../SoakRequestSpec.js";
import { SoakResult } from "../SoakResult.js";
import { SoakWorld } from "../SoakWorld/index.js";

const MAX_ATTEMPTS = 4;
const QUERY_AFTER_MS = 300;
const HEDGE_AFTER_MS = 60;
const PEER_CALL_TIMEOUT_MS = 200;

/** A request at an entry of a simulated run; connects the production state machines to the simulated network. */
export class SoakRequest {
    private readonly machine: RequestMachine;
    private readonly claim: ClaimMachine | undefined;
    private readonly sent = new Map<string, SentAttempt>();
    private readonly incarnation: string;
    private readonly deadlineAtMs: number;
    private isReported = false;
    private isClaimStopped = false;

    private constructor(
        private readonly world: SoakWorld,
        private readonly entry: SoakNode,
        private readonly plan: SoakRequestSpec,
        private readonly onResult: (result: SoakResult) => void,
    ) {
        this.incarnation = entry.incarnation;
        this.deadlineAtMs = world.clock.nowMs + plan.timeoutMs;
        this.machine = RequestMachine.create({
            requestId: plan.requestId,
            isIdempotent: plan.idempotent,
            isClaimRequired: plan.key !== undefined,
            hedgeAfterMs: plan.idempotent ? HEDGE_AFTER_MS : undefined,
            queryAfterMs: QUERY_AFTER_MS,
            deadlineAtMs: this.deadlineAtMs,
            maxAttempts: MAX_ATTEMPTS,
        }, {
            chooseGate: (excluded) => world.chooseGate(entry, excluded),
            allocateAttemptId: () => entry.attemptIdAllocator.allocate(),
            tryWithdrawRetry: () => true,
        });
        this.claim = plan.key === undefined
            ? undefined
            : ClaimMachine.create({
                    key: plan.key,
                    digest: plan.workId,
                    claimant: plan.requestId,
                    epoch: world.roster.epoch,
                    witnessSets: [world.roster.witnesses],
                    deadlineAtMs: this.deadlineAtMs,
                });
    }

    /** Starts a request at an entry. */
    static start(world: SoakWorld, entry: SoakNode, plan: SoakRequestSpec, onResult: (result: SoakResult) => void): SoakRequest {
        const request = new SoakRequest(world, entry, plan, onResult);
        entry.inFlight += 1;
        request.step({ kind: RequestEventKind.Begin });
        return request;
    }

    /** True once the result has been reported to the caller. */
    get hasResult(): boolean {
        return this.isReported;
    }

    /** Deadline of the request. */
    get deadlineMs(): number {
        return this.deadlineAtMs;
    }

    /** True while the process that handles the request is running. */
    get isEntryAlive(): boolean {
        return this.entry.isAlive && this.entry.incarnation === this.incarnation;
    }

    /** Reports that the caller lost its connection because the entry's process ended. */
    handleEntryLoss(): void {
        this.report(undefined, false);
    }

    private step(event: RequestEvent): void {
        if (!this.isEntryAlive) {
            return;
        }
        this.trace(event);
        this.machine.step(event, this.world.clock.nowMs).forEach((effect) => {
            this.trace(effect);
            this.executeEffect(effect);
        });
        if (this.machine.isFinished) {
            this.isClaimStopped = true;
            this.entry.attemptIdAllocator.markSettled(this.machine.attemptIds);
        }
    }

    private schedule(atMs: number, action: () => void): void {
        this.world.clock.at(atMs, () => {
            if (this.isEntryAlive) {
                this.entry.runWhenNotFrozen(action);
            }
        });
    }

    private executeEffect(effect: RequestEffect): void {
        switch (effect.kind) {
            case RequestEffectKind.Claim:
                this.stepClaim({ kind: ClaimEventKind.AttemptRequested, attempt: { id: effect.id, gate: effect.gate } });
                return;
            case RequestEffectKind.Release:
                this.isClaimStopped = true;
                this.claim?.release().forEach((release) => this.executeClaimEffect(release));
                return;
            case RequestEffectKind.Send:
                this.send(effect.id, effect.gate);
                return;
            case RequestEffectKind.Settle:
                this.settle(effect.id, effect.gate, effect.mode, (verdict) => this.step({ kind: RequestEventKind.Settled, id: effect.id, verdict }));
                return;
            case RequestEffectKind.Fetch:
                this.fetch(effect.id, effect.gate);
                return;
            case RequestEffectKind.Deliver:
                this.deliver(effect.id);
                return;
            case RequestEffectKind.Cancel:
                this.cancel(effect.id);
                return;
            case RequestEffectKind.SuspectConnection:
                return;
            case RequestEffectKind.ArmTimer:
                this.schedule(effect.atMs, () => this.step(effect.timer));
                return;
            case RequestEffectKind.SendLocalReply:
                this.report(effect.outcome, false);
                return;
            case RequestEffectKind.AbortCaller:
                this.report(undefined, false);
                return;
            default:
                assertNever(effect);
        }
    }

    private send(id: AttemptId, gate: GateRef): void {
        const target = this.world.node(gate.vm);
        const nowMs = this.world.clock.nowMs;
        const sent: SentAttempt = {
            attempt: {
                id,
                lowWater: this.entry.attemptIdAllocator.lowWater,
                gate: gate.gate,
                customer: "customer",
                serviceClass: this.plan.idempotent ? ServiceClass.Lookup : ServiceClass.Order,
                isIdempotent: this.plan.idempotent,
                keyed: this.plan.key !== undefined,
                deadlineAtMs: nowMs + Math.max(0, this.deadlineAtMs - nowMs),
            },
            entry: this.entry,
            workId: this.plan.workId,
            requestId: this.plan.requestId,
            onResponse: (answer) => this.handleAnswer(id, answer),
        };
        this.sent.set(attemptKey(id), sent);
        if (!target.isAlive) {
            this.schedule(nowMs + 1, () => this.step({ kind: RequestEventKind.NotSent, id }));
            return;
        }
        this.world.network.send(this.entry, target, true, () => {
            this.trace({ arrivesAt: target.incarnation, id });
            target.handleArrival(sent);
        });
    }

    private handleAnswer(id: AttemptId, answer: GateAnswer | undefined): void {
        if (answer === undefined) {
            this.step({ kind: RequestEventKind.Interrupted, id });
            return;
        }
        if (answer.outcome === Outcome.NotRun) {
            this.step({ kind: RequestEventKind.Refused, id, reason: answer.reason ?? RefusalReason.ShedByBackend, retryAfterMs: 0 });
            return;
        }
        if (answer.outcome === Outcome.Unknown && this.plan.idempotent) {
            this.step({ kind: RequestEventKind.Interrupted, id });
            return;
        }
        this.world.checkAnswerOwner(this.plan, answer);
        this.answerOutcomes.set(attemptKey(id), answer.outcome);
        this.step({ kind: RequestEventKind.AnswerReady, id });
    }

    private readonly answerOutcomes = new Map<string, Outcome>();

    private settle(id: AttemptId, gate: GateRef, mode: SettleMode, onVerdict: (verdict: SettleResult) => void): void {
        const target = this.world.node(gate.vm);
        const isOwn = id.entry === this.incarnation;
        const lowWater = isOwn ? this.entry.attemptIdAllocator.lowWater : 0;
        let hasConcluded = false;
        const finish = (verdict: SettleResult): void => {
            if (!hasConcluded) {
                hasConcluded = true;
                onVerdict(verdict);
            }
        };
        const request = { id, gate: gate.gate, lowWater, keyed: this.plan.key !== undefined, mode };
        this.world.network.send(this.entry, target, true, () => {
            const verdict = target.settle(request);
            this.world.network.send(target, this.entry, true, () => finish(verdict));
        });
        this.schedule(this.world.clock.nowMs + PEER_CALL_TIMEOUT_MS, () => finish(SettleResult.Unreachable));
    }

    private fetch(id: AttemptId, gate: GateRef): void {
        const target = this.world.node(gate.vm);
        this.world.network.send(this.entry, target, false, () => {
            const answer = target.retainedAnswer(attemptKey(id));
            this.world.network.send(target, this.entry, false, () => {
                if (answer === undefined) {
                    this.step({ kind: RequestEventKind.AnswerUnavailable, id });
                }
                else {
                    this.handleAnswer(id, answer);
                }
            });
        });
    }

    private deliver(id: AttemptId): void {
        const isInterrupted = this.plan.idempotent && this.world.random() < this.world.rates.brokenBody;
        this.schedule(this.world.clock.nowMs + 1, () => {
            if (isInterrupted) {
                this.step({ kind: RequestEventKind.DeliveryInterrupted, id, canResume: this.world.random() < 1 / 2 });
                return;
            }
            this.step({ kind: RequestEventKind.DeliveryCompleted, id });
            this.report(this.answerOutcomes.get(attemptKey(id)), true);
        });
    }

    private cancel(id: AttemptId): void {
        const sent = this.sent.get(attemptKey(id));
        if (sent !== undefined) {
            const target = this.world.node(sent.attempt.gate.split("@")[0] ?? "");
            this.world.network.send(this.entry, target, false, () => target.handleEntryDisconnect(sent));
        }
    }

    private stepClaim(event: ClaimEvent): void {
        if (this.claim !== undefined && this.isEntryAlive && !this.isClaimStopped) {
            this.trace(event);
            this.claim.step(event, this.world.clock.nowMs).forEach((effect) => {
                this.trace(effect);
                this.executeClaimEffect(effect);
            });
        }
    }

    private executeClaimEffect(effect: ClaimEffect): void {
        switch (effect.kind) {
            case ClaimEffectKind.SendRequest: {
                const target = this.world.node(effect.witness.vm);
                this.world.network.send(this.entry, target, true, () => {
                    const reply = target.handleWitnessRequest(effect.request, this.world.roster);
                    this.world.network.send(target, this.entry, true, () =>
                        this.stepClaim({ kind: ClaimEventKind.Reply, round: effect.round, vm: target.vm, reply }));
                });
                return;
            }
            case ClaimEffectKind.Settle:
                this.settle(effect.attempt.id, effect.attempt.gate, effect.mode, (verdict) =>
                    this.stepClaim({ kind: ClaimEventKind.VerdictReceived, id: effect.attempt.id, verdict }));
                return;
            case ClaimEffectKind.StartRoundTimer:
                this.schedule(effect.atMs, () => this.stepClaim({ kind: ClaimEventKind.RoundTimeout, round: effect.round }));
                return;
            case ClaimEffectKind.Granted:
                this.step({ kind: RequestEventKind.ClaimGranted, id: effect.attempt.id });
                return;
            case ClaimEffectKind.Denied:
                this.step({ kind: RequestEventKind.ClaimDenied, id: effect.attempt.id, reason: effect.reason });
                return;
            case ClaimEffectKind.AlreadyExecuted:
                this.step({ kind: RequestEventKind.ClaimFound, id: effect.attempt.id, other: effect.other });
                return;
            case ClaimEffectKind.OutcomeUnknown:
                this.step({ kind: RequestEventKind.ClaimUnknown, id: effect.attempt.id });
                return;
            default:
                assertNever(effect);
        }
    }

    private trace(what: unknown): void {
        this.world.trace(this.plan.workId, `${this.incarnation} ${this.plan.requestId}`, what);
    }

    private report(outcome: Outcome | undefined, answered: boolean): void {
        if (!this.isReported) {
            this.isReported = true;
            if (this.isEntryAlive) {
                this.entry.inFlight -= 1;
            }
            this.onResult({ plan: this.plan, outcome, answered });
        }
    }
}
