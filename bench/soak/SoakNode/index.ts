import { ClaimEntry } from "../../../src/decisions/claims/ClaimEntry.js";
import { Roster } from "../../../src/decisions/claims/Roster.js";
import { ClaimTable } from "../../../src/decisions/claims/ClaimTable/index.js";
import { WitnessReply } from "../../../src/decisions/claims/WitnessReply.js";
import { WitnessRequest } from "../../../src/decisions/claims/WitnessRequest.js";
import { attemptKey } from "../../../src/decisions/gate/attemptKey/index.js";
import { GateEffect } from "../../../src/decisions/gate/GateEffect.js";
import { GateEffectKind } from "../../../src/decisions/gate/GateEffectKind.js";
import { GateEvent } from "../../../src/decisions/gate/GateEvent.js";
import { GateEventKind } from "../../../src/decisions/gate/GateEventKind.js";
import { GateMachine } from "../../../src/decisions/gate/GateMachine/index.js";
import { AttemptIdAllocator } from "../../../src/entry/AttemptIdAllocator/index.js";
import { SettleResult } from "../../../src/model/SettleResult.js";
import { GateRef } from "../../../src/model/GateRef.js";
import { Outcome } from "../../../src/model/Outcome.js";
import { SettleRequest } from "../../../src/model/SettleRequest.js";
import { BackendResult } from "../BackendResult.js";
import { GateAnswer } from "../GateAnswer.js";
import { SentAttempt } from "../SentAttempt.js";
import { SoakBackend } from "../SoakBackend/index.js";
import { SoakNetwork } from "../SoakNetwork/index.js";
import { VirtualClock } from "../VirtualClock/index.js";

const GATE_LIMITS = { slots: 3, reservedSlots: 1, connections: 40, keyedRetentionMs: 3_600_000, queue: 6 };
const TICK_MS = 50;
const SOAK_WITNESSES = 5;
const RETENTION_MS = 3_600_000;

/** A VM of a simulated run: entry, gate and witness in one process, which may be killed, frozen and drained. */
export class SoakNode {
    incarnation = "";
    isAlive = false;
    isDraining = false;
    /** Number of caller requests in flight at this entry. */
    inFlight = 0;
    attemptIdAllocator = AttemptIdAllocator.create("");
    witness = ClaimTable.create("", "", 0);
    private frozenUntilMs = 0;
    private starts = 0;
    private machine = GateMachine.create("", GATE_LIMITS);
    private pending = new Map<string, SentAttempt>();
    private retained = new Map<string, GateAnswer>();
    private onDrained: () => void = () => undefined;

    private constructor(
        readonly vm: string,
        readonly failureDomain: string,
        private readonly clock: VirtualClock,
        private readonly network: SoakNetwork,
        private readonly backend: SoakBackend,
    ) {}

    /** Creates a VM and starts its process. */
    static create(vm: string, failureDomain: string, clock: VirtualClock, network: SoakNetwork, backend: SoakBackend): SoakNode {
        const node = new SoakNode(vm, failureDomain, clock, network, backend);
        node.start();
        return node;
    }

    /** Reference by which other processes address the current gate of this VM. */
    get gate(): GateRef {
        const { vm, failureDomain, incarnation } = this;
        return { vm, failureDomain, gate: incarnation, endpointId: vm, gateAddress: vm, linkAddress: vm };
    }

    /** Number of attempts running at the gate. */
    get running(): number {
        return this.machine.load.running;
    }

    /** Starts a new process with empty memory. */
    start(): void {
        this.starts += 1;
        this.incarnation = `${this.vm}@${this.starts}`;
        this.isAlive = true;
        this.isDraining = false;
        this.inFlight = 0;
        this.frozenUntilMs = 0;
        this.attemptIdAllocator = AttemptIdAllocator.create(this.incarnation);
        this.witness = ClaimTable.create(this.vm, this.incarnation, this.clock.nowMs);
        this.machine = GateMachine.create(this.incarnation, GATE_LIMITS);
        this.pending = new Map();
        this.retained = new Map();
        this.scheduleTick(this.incarnation);
    }

    /** Ends the process immediately; its connections are lost. */
    kill(): void {
        this.isAlive = false;
        const interrupted = [...this.pending.values()];
        this.pending.clear();
        interrupted.forEach((sent) => this.network.send(this, sent.entry, false, () => sent.onResponse(undefined)));
    }

    /** Suspends the process for a time without ending it. */
    freeze(durationMs: number): void {
        this.frozenUntilMs = this.clock.nowMs + durationMs;
    }

    /** Starts a drain; calls `onDrained` once the gate reports that it is drained. */
    drain(onDrained: () => void): void {
        this.isDraining = true;
        const { incarnation } = this;
        this.onDrained = () => {
            if (this.incarnation === incarnation && this.isAlive) {
                onDrained();
            }
        };
        this.step({ kind: GateEventKind.StartDrain });
    }

    /** Runs an action in the current process once it is not frozen; drops the action if the process ends first. */
    runWhenNotFrozen(action: () => void): void {
        if (!this.isAlive) {
            return;
        }
        if (this.frozenUntilMs <= this.clock.nowMs) {
            action();
            return;
        }
        const { incarnation } = this;
        this.clock.at(this.frozenUntilMs, () => {
            if (this.incarnation === incarnation) {
                this.runWhenNotFrozen(action);
            }
        });
    }

    /** Handles the arrival of an attempt at the gate. */
    handleArrival(sent: SentAttempt): void {
        const key = attemptKey(sent.attempt.id);
        if (!this.pending.has(key)) {
            this.pending.set(key, sent);
        }
        this.step({ kind: GateEventKind.Arrive, attempt: sent.attempt });
    }

    /** Handles a settle request and returns the verdict. */
    settle(request: SettleRequest): SettleResult {
        const verdict = this.step({ kind: GateEventKind.Settle, ...request }).find((effect) => effect.kind === GateEffectKind.Verdict);
        return verdict?.kind === GateEffectKind.Verdict ? verdict.verdict : SettleResult.Unknown;
    }

    /** Handles the loss of the connection between the entry and the gate for an attempt. */
    handleEntryDisconnect(sent: SentAttempt): void {
        if (this.pending.get(attemptKey(sent.attempt.id)) === sent) {
            this.step({ kind: GateEventKind.EntryDisconnected, id: sent.attempt.id });
        }
    }

    /** Returns the retained answer of an attempt, if any. */
    retainedAnswer(key: string): GateAnswer | undefined {
        return this.retained.get(key);
    }

    /** Handles a request from a claimant. */
    handleWitnessRequest(request: WitnessRequest, roster: Roster): WitnessReply {
        return this.witness.handleRequest(request, roster, SOAK_WITNESSES, RETENTION_MS, this.clock.nowMs);
    }

    /** Exports the claims of this witness for one that has restarted; undefined while this witness is incomplete. */
    exportClaims(roster: Roster): readonly ClaimEntry[] | undefined {
        return this.witness.exportClaims(roster, RETENTION_MS, this.clock.nowMs);
    }

    /** Returns true if the witness has every claim that it needs to vote. */
    isWitnessComplete(roster: Roster): boolean {
        return this.witness.isComplete(roster, RETENTION_MS, this.clock.nowMs);
    }

    private step(event: GateEvent): readonly GateEffect[] {
        const effects = this.machine.step(event, this.clock.nowMs);
        effects.forEach((effect) => this.executeEffect(effect));
        return effects;
    }

    private executeEffect(effect: GateEffect): void {
        switch (effect.kind) {
            case GateEffectKind.Start:
                this.run(effect);
                return;
            case GateEffectKind.Refuse: {
                const sent = this.pending.get(attemptKey(effect.id));
                const answer = { outcome: Outcome.NotRun, reason: effect.reason, workId: sent?.workId ?? "" };
                this.reply(sent, answer);
                return;
            }
            case GateEffectKind.Drained:
                this.onDrained();
                return;
            default:
                return;
        }
    }

    private run(effect: Extract<GateEffect, { kind: GateEffectKind.Start }>): void {
        const { incarnation } = this;
        const key = attemptKey(effect.id);
        const sent = this.pending.get(key);
        if (sent === undefined) {
            return;
        }
        this.backend.run(sent.workId, sent.requestId, (result) => {
            if (this.incarnation !== incarnation || !this.isAlive) {
                return;
            }
            this.runWhenNotFrozen(() => this.finish(sent, key, result));
        });
    }

    private finish(sent: SentAttempt, key: string, result: BackendResult): void {
        const answer = { outcome: outcomeOf(result), reason: undefined, workId: sent.workId };
        if (!sent.attempt.isIdempotent) {
            this.retained.set(key, answer);
        }
        this.pending.delete(key);
        this.reply(sent, answer);
        this.step({ kind: GateEventKind.Finish, id: sent.attempt.id });
    }

    private reply(sent: SentAttempt | undefined, answer: GateAnswer): void {
        if (sent !== undefined) {
            this.network.send(this, sent.entry, false, () => sent.onResponse(answer));
        }
    }

    private scheduleTick(incarnation: string): void {
        this.clock.after(TICK_MS, () => {
            if (this.incarnation === incarnation && this.isAlive) {
                this.runWhenNotFrozen(() => this.step({ kind: GateEventKind.Tick }));
                this.scheduleTick(incarnation);
            }
        });
    }
}

function outcomeOf(result: BackendResult): Outcome {
    switch (result) {
        case BackendResult.Answered:
            return Outcome.Ran;
        case BackendResult.Crashed:
            return Outcome.Unknown;
        case BackendResult.Refused:
            return Outcome.NotRun;
    }
}
