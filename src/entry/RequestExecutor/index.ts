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
import { ClaimExecutor } from "../ClaimExecutor/index.js";
import { collectAnswer } from "../collectAnswer/index.js";
import { CollectedAnswer } from "../CollectedAnswer.js";
import { sendLocalReply } from "../sendLocalReply/index.js";
import { AnswerDelivery } from "../AnswerDelivery/index.js";
import { EntryDependencies } from "../EntryDependencies.js";
import { ReadyAnswer } from "../ReadyAnswer.js";

/** Longest answer that is buffered and verified before delivery, in bytes; longer ones are streamed. */
const BUFFERED_ANSWER_BYTES = 64 * 1_024;
/** Timeout of an attempt that resumes an answer, in ms; delivery can continue past the request's deadline. */
const RESUME_TIMEOUT_MS = 3_600_000;

/** Processes one request: executes the effects of its request machine and feeds the results back as events. */
export class RequestExecutor {
    private readonly machine: RequestMachine;
    private readonly exchanges = new Map<number, AttemptExchange>();
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly claim: ClaimExecutor | undefined;
    private delivery: AnswerDelivery | undefined;
    private onFinished: () => void = () => undefined;
    private hasFinished = false;

    private constructor(
        private readonly context: RequestContext,
        private readonly plan: RequestPlan,
        private readonly dependencies: EntryDependencies,
        claimParameters: ClaimParameters | undefined,
    ) {
        this.claim = claimParameters === undefined ? undefined : ClaimExecutor.create(claimParameters, dependencies, (event) => this.step(event));
        this.machine = RequestMachine.create(plan, {
            chooseGate: (excluded) => dependencies.chooseGate(context, excluded),
            allocateAttemptId: () => dependencies.attemptIdAllocator.allocate(),
            tryWithdrawRetry: () => dependencies.tryWithdrawRetry(context.service?.name ?? ""),
        });
    }

    /**
     * Creates the executor of a request.
     *
     * @param context - The request.
     * @param plan - Properties of the request that its machine depends on.
     * @param dependencies - Components that the requests of the entry share.
     * @param claimParameters - Parameters of the claim on the idempotency key; undefined if the request has none.
     */
    static create(
        context: RequestContext,
        plan: RequestPlan,
        dependencies: EntryDependencies,
        claimParameters: ClaimParameters | undefined,
    ): RequestExecutor {
        return new RequestExecutor(context, plan, dependencies, claimParameters);
    }

    /** Processes the request; resolves when it has been answered or its caller has disconnected. */
    run(): Promise<void> {
        return new Promise((resolve) => {
            this.onFinished = resolve;
            this.context.response.once("close", () => this.step({ kind: RequestEventKind.CallerDisconnected }));
            this.step({ kind: RequestEventKind.Begin });
        });
    }

    private step(event: RequestEvent): void {
        const effects = this.machine.step(event, nowMs());
        effects.forEach((effect) => this.execute(effect));
        if (this.machine.isFinished && !this.hasFinished) {
            this.hasFinished = true;
            this.timers.forEach((timer) => clearTimeout(timer));
            this.claim?.stop();
            this.dependencies.attemptIdAllocator.markSettled(this.machine.attemptIds);
            this.onFinished();
        }
    }

    private execute(effect: RequestEffect): void {
        switch (effect.kind) {
            case RequestEffectKind.Claim:
                this.claim?.claimFor(effect.id, effect.gate);
                return;
            case RequestEffectKind.Release:
                this.claim?.release();
                return;
            case RequestEffectKind.Send:
                void this.send(effect.id, effect.gate, effect.isResumption);
                return;
            case RequestEffectKind.Settle:
                void this.settle(effect.id, effect.gate, effect.mode);
                return;
            case RequestEffectKind.Fetch:
                void this.fetchRetainedAnswer(effect.id, effect.gate);
                return;
            case RequestEffectKind.Deliver:
                void this.deliver(effect.id);
                return;
            case RequestEffectKind.Cancel:
                this.exchanges.get(effect.id.sequence)?.signal.emit("abort");
                return;
            case RequestEffectKind.SuspectConnection:
                this.retireSuspectConnections(effect.id, effect.gate);
                return;
            case RequestEffectKind.ArmTimer:
                this.armTimer(effect.timer, effect.atMs);
                return;
            case RequestEffectKind.SendLocalReply:
                sendLocalReply(this.context, effect.outcome, effect.reason, effect.retryAfterMs);
                return;
            case RequestEffectKind.AbortCaller:
                this.abortCaller();
                return;
            default:
                assertNever(effect);
        }
    }

    private async send(id: AttemptId, gate: GateRef, isResumption: boolean): Promise<void> {
        const exchange = this.openExchange(id, gate, isResumption);
        const { request } = this.context;
        const resumeHeaders = isResumption ? this.delivery?.resumeHeaders() ?? {} : {};
        this.dependencies.loads.recordStart(gate);
        const result = await this.dependencies.sender.send({
            id,
            lowWater: this.dependencies.attemptIdAllocator.lowWater,
            gate,
            requestId: this.context.requestId,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: { ...endToEndHeaders(request.headers), ...resumeHeaders },
            body: this.context.body,
            fingerprint: this.context.fingerprint,
            customer: this.context.customer,
            serviceClass: this.context.serviceClass,
            isIdempotent: this.plan.isIdempotent,
            keyed: this.plan.isClaimRequired,
            remainingMs: isResumption ? RESUME_TIMEOUT_MS : this.plan.deadlineAtMs - nowMs(),
            signal: exchange.signal,
            onConnection: (openedAtMs) => exchange.connectionOpenedAtMs = openedAtMs,
        });
        this.dependencies.loads.recordEnd(gate);
        await this.handleResult(id, exchange, result);
    }

    private async fetchRetainedAnswer(id: AttemptId, gate: GateRef): Promise<void> {
        const exchange = this.openExchange(id, gate, false);
        await this.handleResult(id, exchange, await this.dependencies.sender.fetchAnswer(id, gate, exchange.signal));
    }

    private openExchange(id: AttemptId, gate: GateRef, isResumption: boolean): AttemptExchange {
        const exchange: AttemptExchange = {
            gate,
            isResumption,
            signal: new EventEmitter(),
            connectionOpenedAtMs: undefined,
            answer: undefined,
        };
        this.exchanges.set(id.sequence, exchange);
        return exchange;
    }

    private async handleResult(id: AttemptId, exchange: AttemptExchange, result: AttemptResult): Promise<void> {
        if (this.exchanges.get(id.sequence) !== exchange) {
            exchange.signal.emit("abort");
            return;
        }
        switch (result.kind) {
            case AttemptResultKind.Answer:
                this.dependencies.loads.recordReport(exchange.gate, headerValue(result.answer.headers, HeaderName.Load) ?? "", nowMs());
                await this.prepareAnswer(id, exchange, result.answer, result.outcome);
                return;
            case AttemptResultKind.Refused:
                this.recordAttemptEvent(EventNumber.AttemptRetried, id, result.reason);
                this.step({ kind: RequestEventKind.Refused, id, reason: result.reason, retryAfterMs: result.retryAfterMs });
                return;
            case AttemptResultKind.NotSent:
                this.recordAttemptEvent(EventNumber.AttemptRetried, id, result.kind);
                this.step({ kind: RequestEventKind.NotSent, id });
                return;
            case AttemptResultKind.Interrupted:
                this.recordAttemptEvent(EventNumber.AttemptRetried, id, result.kind);
                this.step({ kind: RequestEventKind.Interrupted, id });
                return;
            case AttemptResultKind.Unavailable:
                this.step({ kind: RequestEventKind.AnswerUnavailable, id });
                return;
            default:
                assertNever(result);
        }
    }

    private async prepareAnswer(id: AttemptId, exchange: AttemptExchange, answer: PooledResponse, outcome: Outcome): Promise<void> {
        const { status, headers, body } = answer;
        if (headerValue(headers, HeaderName.Reason) === RefusalReason.BackendLost) {
            this.dependencies.quarantine.recordStrike(this.context.fingerprint, exchange.gate.gate);
        }
        if (outcome === Outcome.Unknown && this.plan.isIdempotent) {
            body.on("error", () => undefined).resume();
            this.step({ kind: RequestEventKind.Interrupted, id });
            return;
        }
        const lengthBytes = Number(headerValue(headers, HeaderName.ContentLength) ?? Number.POSITIVE_INFINITY);
        const hasNoBody = isBodiless(this.context.request.method ?? "GET", status);
        if (!hasNoBody && lengthBytes > BUFFERED_ANSWER_BYTES) {
            exchange.answer = { status, headers, outcome, body };
            this.step({ kind: RequestEventKind.AnswerReady, id });
            return;
        }
        const collected = await collectAnswer(answer, outcome, hasNoBody, BUFFERED_ANSWER_BYTES);
        exchange.answer = collected?.answer;
        this.step({ kind: toEventKind(collected), id });
    }

    private async deliver(id: AttemptId): Promise<void> {
        const exchange = this.exchanges.get(id.sequence);
        const answer = exchange?.answer;
        if (exchange === undefined || answer === undefined) {
            return;
        }
        if (exchange.isResumption) {
            await this.resumeDelivery(id, exchange, answer);
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
            await this.endResponse(answer.body);
            this.step({ kind: RequestEventKind.DeliveryCompleted, id });
            return;
        }
        this.delivery = AnswerDelivery.create(this.context.request.method ?? "GET", answer);
        await this.relayAnswer(id, answer.body, this.delivery);
    }

    private async resumeDelivery(id: AttemptId, exchange: AttemptExchange, answer: ReadyAnswer): Promise<void> {
        const { delivery } = this;
        if (delivery === undefined || !delivery.canResumeWith(answer)) {
            exchange.signal.emit("abort");
            this.step({ kind: RequestEventKind.DeliveryInterrupted, id, canResume: true });
            return;
        }
        this.recordAttemptEvent(EventNumber.AnswerResumed, id, `from byte ${delivery.verifier.verifiedBytes}`);
        const body = Buffer.isBuffer(answer.body) ? Readable.from([answer.body]) : answer.body;
        await this.relayAnswer(id, body, delivery);
    }

    private async relayAnswer(id: AttemptId, body: Readable, delivery: AnswerDelivery): Promise<void> {
        let isComplete: boolean;
        try {
            isComplete = await relayBody(body, this.context.response, delivery.verifier);
        }
        catch {
            this.step({ kind: RequestEventKind.DeliveryInterrupted, id, canResume: delivery.isResumable });
            return;
        }
        if (isComplete) {
            await this.endResponse(undefined);
            this.step({ kind: RequestEventKind.DeliveryCompleted, id });
        }
        else {
            this.step({ kind: RequestEventKind.DeliveryInterrupted, id, canResume: false });
        }
    }

    private endResponse(body: Buffer | undefined): Promise<void> {
        return new Promise((resolve) => {
            this.context.response.once("close", resolve);
            this.context.response.end(body, () => resolve());
        });
    }

    private async settle(id: AttemptId, gate: GateRef, mode: SettleMode): Promise<void> {
        const verdict = await this.dependencies.settle(id, gate, mode, this.plan.isClaimRequired);
        this.recordAttemptEvent(EventNumber.AttemptSettled, id, verdict);
        this.step({ kind: RequestEventKind.Settled, id, verdict });
    }

    private retireSuspectConnections(id: AttemptId, gate: GateRef): void {
        const openedAtMs = this.exchanges.get(id.sequence)?.connectionOpenedAtMs;
        if (openedAtMs !== undefined) {
            const connections = this.dependencies.sender.retireConnections(gate, openedAtMs);
            this.dependencies.events.record(EventNumber.ConnectionsRetired, { peer: gate.vm, connections });
        }
    }

    private armTimer(timer: RequestEvent, atMs: number): void {
        const handle = setTimeout(() => {
            this.timers.delete(handle);
            this.step(timer);
        }, Math.max(0, atMs - nowMs()));
        this.timers.add(handle);
    }

    private abortCaller(): void {
        this.context.outcome = this.context.outcome ?? Outcome.Unknown;
        this.dependencies.events.record(EventNumber.AnswerAborted, { requestId: this.context.requestId });
        this.context.response.destroy();
    }

    private recordAttemptEvent(event: EventNumber, id: AttemptId, detail: string): void {
        this.dependencies.events.record(event, { requestId: this.context.requestId, attempt: attemptKey(id), detail });
    }
}

function toEventKind(
    collected: CollectedAnswer | undefined,
): RequestEventKind.Interrupted | RequestEventKind.AnswerCorrupt | RequestEventKind.AnswerReady {
    if (collected === undefined) {
        return RequestEventKind.Interrupted;
    }
    return collected.isIntact ? RequestEventKind.AnswerReady : RequestEventKind.AnswerCorrupt;
}
