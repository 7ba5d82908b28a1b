import { EventEmitter } from "node:events";
import { Readable } from "node:stream";
import { nowMs } from "../../clock/nowMs/index.js";
import { attemptKey } from "../../decisions/gate/attemptKey/index.js";
import { RequestEffect } from "../../decisions/requests/RequestEffect.js";
import { RequestEffectKind } from "../../decisions/requests/RequestEffectKind.js";
import { RequestEvent } from "../../decisions/requests/RequestEvent.js";
import { RequestEventKind } from "../../decisions/requests/RequestEventKind.js";
import { RequestMachine } from "../../decisions/requests/RequestMachine/index.js";
import { RequestPlan } from "../../decisions/requests/RequestPlan.js";
import { ClaimParameters } from "../../decisions/claims/ClaimParameters.js";
import { RequestContext } from "../../filters/RequestContext.js";
import { endToEndHeaders } from "../../http/endToEndHeaders/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { isBodiless } from "../../http/isBodiless/index.js";
import { PooledResponse } from "../../http/PooledResponse.js";
import { relayBody } from "../../http/relayBody/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { assertNever } from "../../model/assertNever/index.js";
import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { SettleMode } from "../../model/SettleMode.js";
import { AttemptExchange } from "../AttemptExchange.js";
import { AttemptResult } from "../AttemptResult.js";
import { AttemptResultKind } from "../AttemptResultKind.js";
import { ClaimRun } from "../ClaimRun/index.js";
import { collectAnswer } from "../collectAnswer/index.js";
import { CollectedAnswer } from "../CollectedAnswer.js";
import { concludeRequest } from "../concludeRequest/index.js";
import { DeliveredAnswer } from "../DeliveredAnswer/index.js";
import { EntryTools } from "../EntryTools.js";
import { ReadyAnswer } from "../ReadyAnswer.js";

const BUFFERED_ANSWER_BYTES = 64 * 1_024;
const RESUME_TIMEOUT_MS = 3_600_000;

/** Carries one request out: turns the effects of its request machine into messages, and their results into events. */
export class RequestRun {
    private readonly machine: RequestMachine;
    private readonly exchanges = new Map<number, AttemptExchange>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly claim: ClaimRun | undefined;
    private delivered: DeliveredAnswer | undefined;
    private finish: () => void = () => undefined;
    private isFinished = false;

    private constructor(
        private readonly context: RequestContext,
        private readonly plan: RequestPlan,
        private readonly tools: EntryTools,
        claimPlan: ClaimParameters | undefined,
    ) {
        this.claim = claimPlan === undefined ? undefined : ClaimRun.create(claimPlan, tools, (event) => this.step(event));
        this.machine = RequestMachine.create(plan, {
            choose: (excluded) => tools.choose(context, excluded),
            nextId: () => tools.numbering.nextId(),
            withdrawRetry: () => tools.withdrawRetry(context.service?.name ?? ""),
        });
    }

    /**
     * Creates the run of a request.
     *
     * @param context - The request.
     * @param plan - What the request machine has to know.
     * @param tools - What the requests of the entry share.
     * @param claimPlan - How its idempotency key is claimed, if it has one.
     */
    static create(
        context: RequestContext,
        plan: RequestPlan,
        tools: EntryTools,
        claimPlan: ClaimParameters | undefined,
    ): RequestRun {
        return new RequestRun(context, plan, tools, claimPlan);
    }

    /** Runs the request; resolves when it has been answered or its caller is gone. */
    run(): Promise<void> {
        return new Promise((resolve) => {
            this.finish = resolve;
            this.context.response.once("close", () => this.step({ kind: RequestEventKind.CallerLost }));
            this.step({ kind: RequestEventKind.Begin });
        });
    }

    private step(event: RequestEvent): void {
        const effects = this.machine.step(event, nowMs());
        effects.forEach((effect) => this.carryOut(effect));
        if (this.machine.closed && !this.isFinished) {
            this.isFinished = true;
            this.timers.forEach((timer) => clearTimeout(timer));
            this.claim?.stop();
            this.tools.numbering.settle(this.machine.attemptIds);
            this.finish();
        }
    }

    private carryOut(effect: RequestEffect): void {
        switch (effect.kind) {
            case RequestEffectKind.Claim:
                this.claim?.want(effect.id, effect.gate);
                return;
            case RequestEffectKind.Release:
                this.claim?.release();
                return;
            case RequestEffectKind.Send:
                void this.send(effect.id, effect.gate, effect.resume);
                return;
            case RequestEffectKind.Settle:
                void this.settle(effect.id, effect.gate, effect.mode);
                return;
            case RequestEffectKind.Fetch:
                void this.fetch(effect.id, effect.gate);
                return;
            case RequestEffectKind.Deliver:
                void this.deliver(effect.id);
                return;
            case RequestEffectKind.Cancel:
                this.exchanges.get(effect.id.sequence)?.signal.emit("abort");
                return;
            case RequestEffectKind.SuspectConnection:
                this.suspect(effect.id, effect.gate);
                return;
            case RequestEffectKind.Arm:
                this.arm(effect.timer, effect.atMs);
                return;
            case RequestEffectKind.Conclude:
                concludeRequest(this.context, effect.outcome, effect.reason, effect.retryAfterMs);
                return;
            case RequestEffectKind.AbortCaller:
                this.abortCaller();
                return;
            default:
                assertNever(effect);
        }
    }

    private async send(id: AttemptId, gate: GateRef, resume: boolean): Promise<void> {
        const exchange = this.open(id, gate, resume);
        const { request } = this.context;
        const resumeHeaders = resume ? this.delivered?.resumeHeaders() ?? {} : {};
        this.tools.loads.begin(gate);
        const result = await this.tools.sender.send({
            id,
            lowWater: this.tools.numbering.lowWater,
            gate,
            requestId: this.context.requestId,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: { ...endToEndHeaders(request.headers), ...resumeHeaders },
            body: this.context.body,
            fingerprint: this.context.fingerprint,
            customer: this.context.customer,
            serviceClass: this.context.serviceClass,
            idempotent: this.plan.idempotent,
            keyed: this.plan.claimed,
            remainingMs: resume ? RESUME_TIMEOUT_MS : this.plan.deadlineAtMs - nowMs(),
            signal: exchange.signal,
            onConnection: (bornAtMs) => exchange.connectionBornAtMs = bornAtMs,
        });
        this.tools.loads.end(gate);
        await this.take(id, exchange, result);
    }

    private async fetch(id: AttemptId, gate: GateRef): Promise<void> {
        const exchange = this.open(id, gate, false);
        await this.take(id, exchange, await this.tools.sender.fetch(id, gate, exchange.signal));
    }

    private open(id: AttemptId, gate: GateRef, resume: boolean): AttemptExchange {
        const exchange: AttemptExchange = {
            gate,
            resume,
            signal: new EventEmitter(),
            connectionBornAtMs: undefined,
            answer: undefined,
        };
        this.exchanges.set(id.sequence, exchange);
        return exchange;
    }

    private async take(id: AttemptId, exchange: AttemptExchange, result: AttemptResult): Promise<void> {
        if (this.exchanges.get(id.sequence) !== exchange) {
            exchange.signal.emit("abort");
            return;
        }
        switch (result.kind) {
            case AttemptResultKind.Answer:
                this.tools.loads.report(exchange.gate, headerValue(result.answer.headers, HeaderName.Load) ?? "", nowMs());
                await this.prepare(id, exchange, result.answer, result.outcome);
                return;
            case AttemptResultKind.Refused:
                this.record(EventNumber.AttemptRetried, id, result.reason);
                this.step({ kind: RequestEventKind.Refused, id, reason: result.reason, retryAfterMs: result.retryAfterMs });
                return;
            case AttemptResultKind.NotSent:
                this.record(EventNumber.AttemptRetried, id, result.kind);
                this.step({ kind: RequestEventKind.NotSent, id });
                return;
            case AttemptResultKind.Broken:
                this.record(EventNumber.AttemptRetried, id, result.kind);
                this.step({ kind: RequestEventKind.Broken, id });
                return;
            case AttemptResultKind.Unavailable:
                this.step({ kind: RequestEventKind.AnswerUnavailable, id });
                return;
            default:
                assertNever(result);
        }
    }

    private async prepare(id: AttemptId, exchange: AttemptExchange, answer: PooledResponse, outcome: Outcome): Promise<void> {
        const { status, headers, body } = answer;
        if (headerValue(headers, HeaderName.Reason) === RefusalReason.BackendLost) {
            this.tools.quarantine.recordStrike(this.context.fingerprint, exchange.gate.gate);
        }
        if (outcome === Outcome.Unknown && this.plan.idempotent) {
            body.on("error", () => undefined).resume();
            this.step({ kind: RequestEventKind.Broken, id });
            return;
        }
        const lengthBytes = Number(headerValue(headers, HeaderName.ContentLength) ?? Number.POSITIVE_INFINITY);
        const bodiless = isBodiless(this.context.request.method ?? "GET", status);
        if (!bodiless && lengthBytes > BUFFERED_ANSWER_BYTES) {
            exchange.answer = { status, headers, outcome, body };
            this.step({ kind: RequestEventKind.Head, id });
            return;
        }
        const collected = await collectAnswer(answer, outcome, bodiless, BUFFERED_ANSWER_BYTES);
        exchange.answer = collected?.answer;
        this.step({ kind: eventOf(collected), id });
    }

    private async deliver(id: AttemptId): Promise<void> {
        const exchange = this.exchanges.get(id.sequence);
        const answer = exchange?.answer;
        if (exchange === undefined || answer === undefined) {
            return;
        }
        if (exchange.resume) {
            await this.continueDelivery(id, exchange, answer);
            return;
        }
        this.context.outcome = answer.outcome;
        this.context.response.writeHead(answer.status, {
            ...endToEndHeaders(answer.headers),
            [HeaderName.RequestId]: this.context.requestId,
            [HeaderName.Outcome]: answer.outcome,
            [HeaderName.Attempt]: attemptKey(id),
            [HeaderName.Server]: `${exchange.gate.vm}/${exchange.gate.endpointId}`,
        });
        if (Buffer.isBuffer(answer.body)) {
            await this.end(answer.body);
            this.step({ kind: RequestEventKind.BodyEnd, id });
            return;
        }
        this.delivered = DeliveredAnswer.create(this.context.request.method ?? "GET", answer);
        await this.relay(id, answer.body, this.delivered);
    }

    private async continueDelivery(id: AttemptId, exchange: AttemptExchange, answer: ReadyAnswer): Promise<void> {
        const { delivered } = this;
        if (delivered === undefined || !delivered.isContinuedBy(answer)) {
            exchange.signal.emit("abort");
            this.step({ kind: RequestEventKind.BodyBroken, id, resumable: true });
            return;
        }
        this.record(EventNumber.AnswerResumed, id, `from byte ${delivered.verifier.verifiedBytes}`);
        const body = Buffer.isBuffer(answer.body) ? Readable.from([answer.body]) : answer.body;
        await this.relay(id, body, delivered);
    }

    private async relay(id: AttemptId, body: Readable, delivered: DeliveredAnswer): Promise<void> {
        let isWhole: boolean;
        try {
            isWhole = await relayBody(body, this.context.response, delivered.verifier);
        }
        catch {
            this.step({ kind: RequestEventKind.BodyBroken, id, resumable: delivered.isResumable });
            return;
        }
        if (isWhole) {
            await this.end(undefined);
            this.step({ kind: RequestEventKind.BodyEnd, id });
        }
        else {
            this.step({ kind: RequestEventKind.BodyBroken, id, resumable: false });
        }
    }

    private end(body: Buffer | undefined): Promise<void> {
        return new Promise((resolve) => {
            this.context.response.once("close", resolve);
            this.context.response.end(body, () => resolve());
        });
    }

    private async settle(id: AttemptId, gate: GateRef, mode: SettleMode): Promise<void> {
        const verdict = await this.tools.settle(id, gate, mode, this.plan.claimed);
        this.record(EventNumber.AttemptSettled, id, verdict);
        this.step({ kind: RequestEventKind.Settled, id, verdict });
    }

    private suspect(id: AttemptId, gate: GateRef): void {
        const bornAtMs = this.exchanges.get(id.sequence)?.connectionBornAtMs;
        if (bornAtMs !== undefined) {
            const connections = this.tools.sender.retire(gate, bornAtMs);
            this.tools.events.record(EventNumber.ConnectionsRetired, { peer: gate.vm, connections });
        }
    }

    private arm(timer: RequestEvent, atMs: number): void {
        const handle = setTimeout(() => {
            this.timers.delete(handle);
            this.step(timer);
        }, Math.max(0, atMs - nowMs()));
        this.timers.add(handle);
    }

    private abortCaller(): void {
        this.context.outcome = this.context.outcome ?? Outcome.Unknown;
        this.tools.events.record(EventNumber.AnswerAborted, { requestId: this.context.requestId });
        this.context.response.destroy();
    }

    private record(event: EventNumber, id: AttemptId, detail: string): void {
        this.tools.events.record(event, { requestId: this.context.requestId, attempt: attemptKey(id), detail });
    }
}

function eventOf(collected: CollectedAnswer | undefined): RequestEventKind.Broken | RequestEventKind.Corrupt | RequestEventKind.Head {
    if (collected === undefined) {
        return RequestEventKind.Broken;
    }
    return collected.isSound ? RequestEventKind.Head : RequestEventKind.Corrupt;
}
