import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { nowMs } from "../../clock/nowMs/index.js";
import { attemptKey } from "../../decisions/gate/attemptKey/index.js";
import { GateEffect } from "../../decisions/gate/GateEffect.js";
import { GateEffectKind } from "../../decisions/gate/GateEffectKind.js";
import { GateEvent } from "../../decisions/gate/GateEvent.js";
import { GateEventKind } from "../../decisions/gate/GateEventKind.js";
import { GateLedger } from "../../decisions/gate/GateLedger/index.js";
import { GateLimits } from "../../decisions/gate/GateLimits.js";
import { GateLoad } from "../../decisions/gate/GateLoad.js";
import { BodyVerifier } from "../../http/BodyVerifier/index.js";
import { collectBody } from "../../http/collectBody/index.js";
import { ConnectionPool } from "../../http/ConnectionPool/index.js";
import { endToEndHeaders } from "../../http/endToEndHeaders/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { isBodiless } from "../../http/isBodiless/index.js";
import { isConnectFailure } from "../../http/isConnectFailure/index.js";
import { isServerDown } from "../../http/isServerDown/index.js";
import { PooledResponse } from "../../http/PooledResponse.js";
import { relayBody } from "../../http/relayBody/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { assertNever } from "../../model/assertNever/index.js";
import { AttemptId } from "../../model/AttemptId.js";
import { SettleResult } from "../../model/SettleResult.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { toError } from "../../model/toError/index.js";
import { SettleRequest } from "../../model/SettleRequest.js";
import { outcomeHeaders } from "../outcomeHeaders/index.js";
import { GateSetup } from "../GateSetup.js";
import { ReceivedAttempt } from "../ReceivedAttempt.js";
import { RetainedAnswer } from "../RetainedAnswer.js";

const RETAINED_BODY_BYTES = 64 * 1_024;
const STATUS_REFUSED = 503;
const STATUS_BAD_ANSWER = 502;

interface PendingAttempt {
    readonly received: ReceivedAttempt;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly signal: EventEmitter;
    /** Whether the entry gave the attempt up. */
    isCancelled: boolean;
}

/** Guards one endpoint: counts its work, carries attempts to the backend server, and answers for each of them. */
export class GateController {
    private readonly ledger: GateLedger;
    private readonly pool: ConnectionPool;
    private readonly pending = new Map<string, PendingAttempt>();
    private drained = false;

    private constructor(private readonly setup: GateSetup) {
        this.ledger = GateLedger.create(setup.gate, setup.limits);
        this.pool = ConnectionPool.create(setup.backendAddress, setup.limits.connections);
    }

    /** Creates the gate of an endpoint. */
    static create(setup: GateSetup): GateController {
        return new GateController(setup);
    }

    /** Incarnation of the gate. */
    get gate(): string {
        return this.setup.gate;
    }

    /** Current load. */
    get load(): GateLoad {
        return this.ledger.load;
    }

    /** True once a drain has begun. */
    get isDraining(): boolean {
        return this.ledger.isDraining;
    }

    /** True once a drain has ended: nothing is in flight and nothing starts any more. */
    get isDrained(): boolean {
        return this.drained;
    }

    /** Applies the limits of a new configuration. */
    setLimits(limits: GateLimits): void {
        this.ledger.setLimits(limits);
    }

    /** Takes an attempt that arrived over HTTP. */
    arrive(received: ReceivedAttempt, request: IncomingMessage, response: ServerResponse): void {
        const { id } = received.attempt;
        const key = attemptKey(id);
        if (this.pending.has(key)) {
            this.writeRefusal(response, RefusalReason.Duplicate, 0);
            return;
        }
        this.pending.set(key, { received, request, response, signal: new EventEmitter(), isCancelled: false });
        response.once("close", () => {
            if (!response.writableFinished) {
                this.step({ kind: GateEventKind.EntryLost, id });
            }
        });
        this.step({ kind: GateEventKind.Arrive, attempt: received.attempt });
    }

    /** Answers a settle message. */
    settle(question: SettleRequest): SettleResult {
        const effects = this.step({ kind: GateEventKind.Settle, ...question });
        const verdict = effects.find((effect) => effect.kind === GateEffectKind.Verdict);
        return verdict?.kind === GateEffectKind.Verdict ? verdict.verdict : SettleResult.Unknown;
    }

    /** Begins a drain: new work is refused, work in flight ends whole. */
    startDrain(): void {
        this.step({ kind: GateEventKind.StartDrain });
    }

    /** Lets time pass: refuses queued work that is too late. */
    tick(): void {
        this.step({ kind: GateEventKind.Tick });
        this.pool.closeIdle();
    }

    /** Drops all connections to the backend server. */
    close(): void {
        this.pool.close();
    }

    private step(event: GateEvent): readonly GateEffect[] {
        const effects = this.ledger.step(event, nowMs());
        effects.forEach((effect) => this.carryOut(effect));
        return effects;
    }

    private carryOut(effect: GateEffect): void {
        switch (effect.kind) {
            case GateEffectKind.Start:
                void this.run(effect.id);
                return;
            case GateEffectKind.Refuse:
                this.refuse(effect.id, effect.reason, effect.retryAfterMs);
                return;
            case GateEffectKind.CancelBackend:
                this.cancel(effect.id);
                return;
            case GateEffectKind.Drained:
                this.drained = true;
                this.setup.onDrained();
                return;
            case GateEffectKind.Verdict:
                return;
            default:
                assertNever(effect);
        }
    }

    private cancel(id: AttemptId): void {
        const pending = this.pending.get(attemptKey(id));
        if (pending !== undefined) {
            pending.isCancelled = true;
            pending.signal.emit("abort");
        }
    }

    private refuse(id: AttemptId, reason: RefusalReason, retryAfterMs: number): void {
        const pending = this.pending.get(attemptKey(id));
        if (pending !== undefined) {
            this.pending.delete(attemptKey(id));
            this.writeRefusal(pending.response, reason, retryAfterMs);
        }
    }

    private async run(id: AttemptId): Promise<void> {
        const pending = this.pending.get(attemptKey(id));
        try {
            if (pending !== undefined) {
                await this.forward(pending);
            }
        }
        catch (thrown) {
            this.setup.events.record(EventNumber.AnswerAborted, { attempt: attemptKey(id), error: toError(thrown).message });
            pending?.response.destroy();
            if (pending !== undefined) {
                await this.findLoss(pending);
            }
        }
        finally {
            this.pending.delete(attemptKey(id));
            this.step({ kind: GateEventKind.Finish, id });
        }
    }

    private async forward(pending: PendingAttempt): Promise<void> {
        const { request, received } = pending;
        let answer: PooledResponse;
        try {
            answer = await this.pool.request({
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers: this.backendHeaders(pending),
                body: hasBody(request) ? request : undefined,
                needsLiveConnection: !received.attempt.idempotent,
                signal: pending.signal,
            });
        }
        catch (thrown) {
            await this.failBeforeHead(pending, toError(thrown));
            return;
        }
        await this.relay(pending, answer);
    }

    private async failBeforeHead(pending: PendingAttempt, error: Error): Promise<void> {
        const didNotRun = isConnectFailure(error);
        const outcome = didNotRun ? Outcome.NotRun : Outcome.Unknown;
        const reason = didNotRun ? RefusalReason.BackendUnreachable : await this.findLoss(pending);
        const headers = { ...this.headersOf(outcome), ...(reason === undefined ? {} : { [HeaderName.Reason]: reason }) };
        const status = didNotRun ? STATUS_REFUSED : STATUS_BAD_ANSWER;
        this.finishAnswer(pending, { status, headers, body: Buffer.alloc(0), outcome });
    }

    /** If the backend server is lost, the request gets a strike: it may have crashed it. */
    private async findLoss(pending: PendingAttempt): Promise<RefusalReason | undefined> {
        if (pending.isCancelled || !await isServerDown(this.setup.backendAddress)) {
            return undefined;
        }
        this.setup.quarantine.recordStrike(pending.received.fingerprint, this.setup.gate);
        return RefusalReason.BackendLost;
    }

    private async relay(pending: PendingAttempt, answer: PooledResponse): Promise<void> {
        const { attempt, fingerprint } = pending.received;
        this.setup.quarantine.clearStrikes(fingerprint);
        const isShed = this.setup.notRunStatuses.includes(answer.status);
        const outcome = isShed ? Outcome.NotRun : Outcome.Ran;
        const headers = { ...endToEndHeaders(answer.headers), ...this.headersOf(outcome) };
        if (isShed) {
            headers[HeaderName.Reason] = RefusalReason.ShedByBackend;
        }
        const bodiless = isBodiless(pending.request.method ?? "GET", answer.status);
        const lengthBytes = Number(headerValue(answer.headers, HeaderName.ContentLength) ?? Number.POSITIVE_INFINITY);
        if (bodiless || (!attempt.idempotent && lengthBytes <= RETAINED_BODY_BYTES)) {
            await this.retain(pending, answer, headers, outcome);
            return;
        }
        const isFramed = Number.isFinite(lengthBytes) || answer.headers[HeaderName.TransferEncoding] !== undefined;
        pending.response.writeHead(answer.status, headers);
        const isWhole = await relayBody(answer.body, pending.response, BodyVerifier.create(answer.headers));
        if (isWhole && isFramed) {
            await endResponse(pending.response);
        }
        else {
            pending.response.destroy();
        }
    }

    private async retain(
        pending: PendingAttempt,
        answer: PooledResponse,
        headers: Record<string, string | string[]>,
        outcome: Outcome,
    ): Promise<void> {
        let body: Buffer | undefined;
        try {
            body = await collectBody(answer.body, RETAINED_BODY_BYTES);
        }
        catch (thrown) {
            await this.failBeforeHead(pending, toError(thrown));
            return;
        }
        this.finishAnswer(pending, { status: answer.status, headers, body: body ?? Buffer.alloc(0), outcome });
    }

    private finishAnswer(pending: PendingAttempt, answer: RetainedAnswer): void {
        const { attempt } = pending.received;
        if (!attempt.idempotent) {
            this.setup.answers.put(attemptKey(attempt.id), answer, nowMs());
        }
        if (!pending.response.destroyed) {
            pending.response.writeHead(answer.status, answer.headers as Record<string, string | string[]>);
            pending.response.end(answer.body.length > 0 ? answer.body : undefined);
        }
    }

    private backendHeaders(pending: PendingAttempt): Record<string, string | string[]> {
        const { attempt, requestId } = pending.received;
        return {
            ...endToEndHeaders(pending.request.headers),
            [HeaderName.RequestId]: requestId,
            [HeaderName.TimeoutMs]: String(Math.max(0, Math.round(attempt.deadlineAtMs - nowMs()))),
        };
    }

    private headersOf(outcome: Outcome): Record<string, string | string[]> {
        return outcomeHeaders(outcome, this.ledger.load, `${this.setup.vm}/${this.setup.endpointId}`);
    }

    private writeRefusal(response: ServerResponse, reason: RefusalReason, retryAfterMs: number): void {
        if (response.headersSent || response.destroyed) {
            return;
        }
        response.writeHead(STATUS_REFUSED, {
            ...this.headersOf(reason === RefusalReason.Duplicate ? Outcome.Unknown : Outcome.NotRun),
            [HeaderName.Reason]: reason,
            [HeaderName.RetryAfterMs]: String(retryAfterMs),
        });
        response.end();
    }
}

function hasBody(request: IncomingMessage): boolean {
    return request.headers[HeaderName.ContentLength] !== undefined || request.headers[HeaderName.TransferEncoding] !== undefined;
}

function endResponse(response: ServerResponse): Promise<void> {
    return new Promise((resolve) => response.end(resolve));
}
