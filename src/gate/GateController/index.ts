import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { nowMs } from "../../clock/nowMs/index.js";
import { attemptKey } from "../../decisions/gate/attemptKey/index.js";
import { GateEffect } from "../../decisions/gate/GateEffect.js";
import { GateEffectKind } from "../../decisions/gate/GateEffectKind.js";
import { GateEvent } from "../../decisions/gate/GateEvent.js";
import { GateEventKind } from "../../decisions/gate/GateEventKind.js";
import { GateMachine } from "../../decisions/gate/GateMachine/index.js";
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
import { GateOptions } from "../GateOptions.js";
import { ReceivedAttempt } from "../ReceivedAttempt.js";
import { RetainedAnswer } from "../RetainedAnswer.js";

/** Longest body of an answer that is buffered and retained, in bytes. */
const RETAINED_BODY_BYTES = 64 * 1_024;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;

interface PendingAttempt {
    readonly received: ReceivedAttempt;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly signal: EventEmitter;
    /** Whether the entry has disconnected and the attempt was aborted. */
    isCancelled: boolean;
}

/**
 * Gate of one endpoint: executes the effects of its gate machine, forwards attempts to the backend server, relays the
 * answers and retains those to work that must not be repeated.
 */
export class GateController {
    private readonly machine: GateMachine;
    private readonly pool: ConnectionPool;
    private readonly pending = new Map<string, PendingAttempt>();
    private hasDrained = false;

    private constructor(private readonly options: GateOptions) {
        this.machine = GateMachine.create(options.gate, options.limits);
        this.pool = ConnectionPool.create(options.backendAddress, options.limits.connections);
    }

    /** Creates the gate of an endpoint. */
    static create(options: GateOptions): GateController {
        return new GateController(options);
    }

    /** Incarnation of the gate. */
    get gate(): string {
        return this.options.gate;
    }

    /** Current load. */
    get load(): GateLoad {
        return this.machine.load;
    }

    /** Whether a drain has begun. */
    get isDraining(): boolean {
        return this.machine.isDraining;
    }

    /** Whether a drain has ended: no work is in flight and none will start. */
    get isDrained(): boolean {
        return this.hasDrained;
    }

    /** Applies the limits of a new configuration. */
    setLimits(limits: GateLimits): void {
        this.machine.setLimits(limits);
    }

    /** Handles an attempt that arrived over HTTP. */
    handleAttempt(received: ReceivedAttempt, request: IncomingMessage, response: ServerResponse): void {
        const { id } = received.attempt;
        const key = attemptKey(id);
        if (this.pending.has(key)) {
            this.writeRefusal(response, RefusalReason.Duplicate, 0);
            return;
        }
        this.pending.set(key, { received, request, response, signal: new EventEmitter(), isCancelled: false });
        response.once("close", () => {
            if (!response.writableFinished) {
                this.step({ kind: GateEventKind.EntryDisconnected, id });
            }
        });
        this.step({ kind: GateEventKind.Arrive, attempt: received.attempt });
    }

    /** Answers a settle message about an attempt. */
    settle(request: SettleRequest): SettleResult {
        const effects = this.step({ kind: GateEventKind.Settle, ...request });
        const verdict = effects.find((effect) => effect.kind === GateEffectKind.Verdict);
        return verdict?.kind === GateEffectKind.Verdict ? verdict.verdict : SettleResult.Unknown;
    }

    /** Begins a drain: new work is refused, work in flight is completed. */
    startDrain(): void {
        this.step({ kind: GateEventKind.StartDrain });
    }

    /** Refuses queued work past its deadline and closes idle connections; called periodically. */
    tick(): void {
        this.step({ kind: GateEventKind.Tick });
        this.pool.closeIdle();
    }

    /** Closes all connections to the backend server. */
    close(): void {
        this.pool.close();
    }

    private step(event: GateEvent): readonly GateEffect[] {
        const effects = this.machine.step(event, nowMs());
        effects.forEach((effect) => this.execute(effect));
        return effects;
    }

    private execute(effect: GateEffect): void {
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
                this.hasDrained = true;
                this.options.onDrained();
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
            this.options.events.record(EventNumber.AnswerAborted, { attempt: attemptKey(id), error: toError(thrown).message });
            pending?.response.destroy();
            if (pending !== undefined) {
                await this.detectBackendLoss(pending);
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
                needsLiveConnection: !received.attempt.isIdempotent,
                signal: pending.signal,
            });
        }
        catch (thrown) {
            await this.replyWithFailure(pending, toError(thrown));
            return;
        }
        await this.relayAnswer(pending, answer);
    }

    private async replyWithFailure(pending: PendingAttempt, error: Error): Promise<void> {
        const didNotRun = isConnectFailure(error);
        const outcome = didNotRun ? Outcome.NotRun : Outcome.Unknown;
        const reason = didNotRun ? RefusalReason.BackendUnreachable : await this.detectBackendLoss(pending);
        const headers = { ...this.outcomeHeadersFor(outcome), ...(reason === undefined ? {} : { [HeaderName.Reason]: reason }) };
        const status = didNotRun ? STATUS_SERVICE_UNAVAILABLE : STATUS_BAD_GATEWAY;
        this.retainAndSend(pending, { status, headers, body: Buffer.alloc(0), outcome });
    }

    /** Checks whether the backend server is lost; if so, adds a strike to the request, which may have crashed it. */
    private async detectBackendLoss(pending: PendingAttempt): Promise<RefusalReason | undefined> {
        if (pending.isCancelled || !await isServerDown(this.options.backendAddress)) {
            return undefined;
        }
        this.options.quarantine.recordStrike(pending.received.fingerprint, this.options.gate);
        return RefusalReason.BackendLost;
    }

    private async relayAnswer(pending: PendingAttempt, answer: PooledResponse): Promise<void> {
        const { attempt, fingerprint } = pending.received;
        this.options.quarantine.clearStrikes(fingerprint);
        const isShed = this.options.notRunStatuses.includes(answer.status);
        const outcome = isShed ? Outcome.NotRun : Outcome.Ran;
        const headers = { ...endToEndHeaders(answer.headers), ...this.outcomeHeadersFor(outcome) };
        if (isShed) {
            headers[HeaderName.Reason] = RefusalReason.ShedByBackend;
        }
        const hasNoBody = isBodiless(pending.request.method ?? "GET", answer.status);
        const lengthBytes = Number(headerValue(answer.headers, HeaderName.ContentLength) ?? Number.POSITIVE_INFINITY);
        if (hasNoBody || (!attempt.isIdempotent && lengthBytes <= RETAINED_BODY_BYTES)) {
            await this.bufferAnswer(pending, answer, headers, outcome);
            return;
        }
        const isFramed = Number.isFinite(lengthBytes) || answer.headers[HeaderName.TransferEncoding] !== undefined;
        pending.response.writeHead(answer.status, headers);
        const isComplete = await relayBody(answer.body, pending.response, BodyVerifier.create(answer.headers));
        if (isComplete && isFramed) {
            await endResponse(pending.response);
        }
        else {
            pending.response.destroy();
        }
    }

    private async bufferAnswer(
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
            await this.replyWithFailure(pending, toError(thrown));
            return;
        }
        this.retainAndSend(pending, { status: answer.status, headers, body: body ?? Buffer.alloc(0), outcome });
    }

    private retainAndSend(pending: PendingAttempt, answer: RetainedAnswer): void {
        const { attempt } = pending.received;
        if (!attempt.isIdempotent) {
            this.options.answers.put(attemptKey(attempt.id), answer, nowMs());
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

    private outcomeHeadersFor(outcome: Outcome): Record<string, string | string[]> {
        return outcomeHeaders(outcome, this.machine.load, `${this.options.vm}/${this.options.endpointId}`);
    }

    private writeRefusal(response: ServerResponse, reason: RefusalReason, retryAfterMs: number): void {
        if (response.headersSent || response.destroyed) {
            return;
        }
        response.writeHead(STATUS_SERVICE_UNAVAILABLE, {
            ...this.outcomeHeadersFor(reason === RefusalReason.Duplicate ? Outcome.Unknown : Outcome.NotRun),
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
