import type { EventEmitter } from "node:events";
import { attemptKey } from "../../decisions/gate/attemptKey/index.js";
import { ConnectionPool } from "../../http/ConnectionPool/index.js";
import { HeaderFields } from "../../http/HeaderFields.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { isConnectFailure } from "../../http/isConnectFailure/index.js";
import { PooledResponse } from "../../http/PooledResponse.js";
import { PooledRequest } from "../../http/PooledRequest.js";
import { AttemptId } from "../../model/AttemptId.js";
import { findEnumValue } from "../../model/findEnumValue/index.js";
import { FleetError } from "../../model/FleetError.js";
import { GateRef } from "../../model/GateRef.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { toError } from "../../model/toError/index.js";
import { AttemptResult } from "../AttemptResult.js";
import { AttemptResultKind } from "../AttemptResultKind.js";
import { OutgoingAttempt } from "../OutgoingAttempt.js";

const MAX_CONNECTIONS_PER_GATE = 256;
const STATUS_NOT_FOUND = 404;

/** Sends attempts to gates over pooled connections, and fetches answers that gates have retained. */
export class AttemptSender {
    private readonly pools = new Map<string, ConnectionPool>();

    private constructor(private readonly token: string) {}

    /**
     * Creates a sender.
     *
     * @param token - Token that authenticates the sender to gates as a member of the fleet.
     */
    static create(token: string): AttemptSender {
        return new AttemptSender(token);
    }

    /** Sends an attempt and waits for the head of its answer. */
    send(attempt: OutgoingAttempt): Promise<AttemptResult> {
        return this.exchange(attempt.gate, {
            method: attempt.method,
            path: attempt.path,
            headers: { ...attempt.headers, ...this.attemptHeaders(attempt) },
            body: attempt.body,
            needsLiveConnection: !attempt.isIdempotent,
            signal: attempt.signal,
            onConnection: attempt.onConnection,
        });
    }

    /** Fetches the retained answer of an attempt from its gate. */
    async fetchAnswer(id: AttemptId, gate: GateRef, signal: EventEmitter): Promise<AttemptResult> {
        const result = await this.exchange(gate, {
            method: "GET",
            path: "/",
            headers: { [HeaderName.Fetch]: attemptKey(id), [HeaderName.Token]: this.token },
            body: undefined,
            needsLiveConnection: true,
            signal,
        });
        return result.kind === AttemptResultKind.NotSent ? { kind: AttemptResultKind.Interrupted } : result;
    }

    /** Retires the connections to a gate that were opened at or before a time, in ms; returns their number. */
    retireConnections(gate: GateRef, openedAtOrBeforeMs: number): number {
        return this.pools.get(gate.gateAddress)?.retire(openedAtOrBeforeMs) ?? 0;
    }

    /** Closes idle connections and removes empty pools. */
    closeIdle(): void {
        this.pools.forEach((pool, address) => {
            pool.closeIdle();
            if (pool.size === 0) {
                this.pools.delete(address);
            }
        });
    }

    /** Closes all connections immediately. */
    close(): void {
        this.pools.forEach((pool) => pool.close());
    }

    private async exchange(gate: GateRef, request: PooledRequest): Promise<AttemptResult> {
        try {
            return toAttemptResult(await this.pool(gate).request(request));
        }
        catch (thrown) {
            const error = toError(thrown);
            const isNotSent = error instanceof FleetError || isConnectFailure(error);
            return { kind: isNotSent ? AttemptResultKind.NotSent : AttemptResultKind.Interrupted };
        }
    }

    private pool(gate: GateRef): ConnectionPool {
        const pool = this.pools.get(gate.gateAddress) ?? ConnectionPool.create(gate.gateAddress, MAX_CONNECTIONS_PER_GATE);
        this.pools.set(gate.gateAddress, pool);
        return pool;
    }

    private attemptHeaders(attempt: OutgoingAttempt): Record<string, string> {
        return {
            [HeaderName.Token]: this.token,
            [HeaderName.Attempt]: attemptKey(attempt.id),
            [HeaderName.LowWater]: String(attempt.lowWater),
            [HeaderName.Gate]: attempt.gate.gate,
            [HeaderName.Endpoint]: attempt.gate.endpointId,
            [HeaderName.DeadlineMs]: String(Math.max(0, Math.round(attempt.remainingMs))),
            [HeaderName.Class]: attempt.serviceClass,
            [HeaderName.Customer]: encodeURIComponent(attempt.customer),
            [HeaderName.Idempotent]: attempt.isIdempotent ? "1" : "0",
            [HeaderName.Keyed]: attempt.keyed ? "1" : "0",
            [HeaderName.RequestId]: attempt.requestId,
            [HeaderName.Fingerprint]: attempt.fingerprint,
        };
    }
}

function toAttemptResult(answer: PooledResponse): AttemptResult {
    const outcome = findEnumValue(Outcome, headerValue(answer.headers, HeaderName.Outcome));
    if (outcome === Outcome.NotRun || readReason(answer.headers) === RefusalReason.Duplicate) {
        discard(answer);
        return {
            kind: AttemptResultKind.Refused,
            reason: readReason(answer.headers),
            retryAfterMs: Number(headerValue(answer.headers, HeaderName.RetryAfterMs) ?? 0),
        };
    }
    if (outcome === undefined) {
        discard(answer);
        return { kind: answer.status === STATUS_NOT_FOUND ? AttemptResultKind.Unavailable : AttemptResultKind.Interrupted };
    }
    return { kind: AttemptResultKind.Answer, answer, outcome };
}

function discard(answer: PooledResponse): void {
    answer.body.on("error", () => undefined);
    answer.body.resume();
}

function readReason(headers: HeaderFields): RefusalReason {
    return findEnumValue(RefusalReason, headerValue(headers, HeaderName.Reason)) ?? RefusalReason.Overloaded;
}
