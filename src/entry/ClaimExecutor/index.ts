import { nowMs } from "../../clock/nowMs/index.js";
import { ClaimEffect } from "../../decisions/claims/ClaimEffect.js";
import { ClaimEffectKind } from "../../decisions/claims/ClaimEffectKind.js";
import { ClaimEvent } from "../../decisions/claims/ClaimEvent.js";
import { ClaimEventKind } from "../../decisions/claims/ClaimEventKind.js";
import { ClaimMachine } from "../../decisions/claims/ClaimMachine/index.js";
import { ClaimParameters } from "../../decisions/claims/ClaimParameters.js";
import { RequestEvent } from "../../decisions/requests/RequestEvent.js";
import { RequestEventKind } from "../../decisions/requests/RequestEventKind.js";
import { assertNever } from "../../model/assertNever/index.js";
import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";
import { EntryDependencies } from "../EntryDependencies.js";

/** Claims the idempotency key of one request: executes the effects of its claim machine by calls to witnesses and gates. */
export class ClaimExecutor {
    private readonly machine: ClaimMachine;
    private readonly timers = new Set<NodeJS.Timeout>();
    private isStopped = false;

    private constructor(
        parameters: ClaimParameters,
        private readonly dependencies: EntryDependencies,
        private readonly onEvent: (event: RequestEvent) => void,
    ) {
        this.machine = ClaimMachine.create(parameters);
    }

    /**
     * Creates the executor of a claim.
     *
     * @param parameters - Key, digest and witnesses of the claim.
     * @param dependencies - Components that the requests of the entry share.
     * @param onEvent - Called with the result of the claim.
     */
    static create(parameters: ClaimParameters, dependencies: EntryDependencies, onEvent: (event: RequestEvent) => void): ClaimExecutor {
        return new ClaimExecutor(parameters, dependencies, onEvent);
    }

    /** Claims the key for an attempt. */
    claimFor(id: AttemptId, gate: GateRef): void {
        this.step({ kind: ClaimEventKind.AttemptRequested, attempt: { id, gate } });
    }

    /** Releases the key at every witness. */
    release(): void {
        this.stop();
        this.machine.release().forEach((effect) => this.execute(effect));
    }

    /** Stops the timers of the claim; late replies are ignored. */
    stop(): void {
        this.isStopped = true;
        this.timers.forEach((timer) => clearTimeout(timer));
    }

    private step(event: ClaimEvent): void {
        if (!this.isStopped) {
            this.machine.step(event, nowMs()).forEach((effect) => this.execute(effect));
        }
    }

    private execute(effect: ClaimEffect): void {
        switch (effect.kind) {
            case ClaimEffectKind.SendRequest:
                void this.sendToWitness(effect);
                return;
            case ClaimEffectKind.Settle:
                void this.settle(effect);
                return;
            case ClaimEffectKind.StartRoundTimer:
                this.armRoundTimer(effect.round, effect.atMs);
                return;
            case ClaimEffectKind.Granted:
                this.onEvent({ kind: RequestEventKind.ClaimGranted, id: effect.attempt.id });
                return;
            case ClaimEffectKind.Denied:
                this.onEvent({ kind: RequestEventKind.ClaimDenied, id: effect.attempt.id, reason: effect.reason });
                return;
            case ClaimEffectKind.AlreadyExecuted:
                this.onEvent({ kind: RequestEventKind.ClaimFound, id: effect.attempt.id, other: effect.other });
                return;
            case ClaimEffectKind.OutcomeUnknown:
                this.onEvent({ kind: RequestEventKind.ClaimUnknown, id: effect.attempt.id });
                return;
            default:
                assertNever(effect);
        }
    }

    private async sendToWitness(effect: Extract<ClaimEffect, { kind: ClaimEffectKind.SendRequest }>): Promise<void> {
        const reply = await this.dependencies.callWitness(effect.witness, effect.request);
        if (reply !== undefined) {
            this.step({ kind: ClaimEventKind.Reply, round: effect.round, vm: effect.witness.vm, reply });
        }
    }

    private async settle(effect: Extract<ClaimEffect, { kind: ClaimEffectKind.Settle }>): Promise<void> {
        const { id, gate } = effect.attempt;
        const verdict = await this.dependencies.settleClaimedAttempt(id, gate, effect.mode);
        this.step({ kind: ClaimEventKind.VerdictReceived, id, verdict });
    }

    private armRoundTimer(round: number, atMs: number): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.step({ kind: ClaimEventKind.RoundTimeout, round });
        }, Math.max(0, atMs - nowMs()));
        this.timers.add(timer);
    }
}
