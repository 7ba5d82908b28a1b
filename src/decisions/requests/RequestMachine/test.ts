import test from "ava";
import { AttemptId } from "../../../model/AttemptId.js";
import { SettleResult } from "../../../model/SettleResult.js";
import { GateRef } from "../../../model/GateRef.js";
import { RefusalReason } from "../../../model/RefusalReason.js";
import { RequestEffect } from "../RequestEffect.js";
import { RequestEffectKind } from "../RequestEffectKind.js";
import { RequestEvent } from "../RequestEvent.js";
import { RequestEventKind } from "../RequestEventKind.js";
import { RequestPlan } from "../RequestPlan.js";
import { RequestMachine } from "./index.js";

const DEADLINE_MS = 1_000;

function gate(name: string): GateRef {
    return { vm: name, gate: name, endpointId: name, failureDomain: "a", gateAddress: name, linkAddress: name };
}

function id(sequence: number): AttemptId {
    return { entry: "entry", sequence };
}

function create(overrides: Partial<RequestPlan>, gates: readonly string[], retries: number): RequestMachine {
    let sequence = 0;
    let retriesLeft = retries;
    return RequestMachine.create({
        requestId: "request",
        isIdempotent: false,
        isClaimRequired: false,
        hedgeAfterMs: undefined,
        queryAfterMs: 100,
        deadlineAtMs: DEADLINE_MS,
        maxAttempts: 3,
        ...overrides,
    }, {
        chooseGate: (excluded) => gates.map(gate).find((candidate) => !excluded.some((other) => other.gate === candidate.gate)),
        allocateAttemptId: () => {
            sequence += 1;
            return id(sequence);
        },
        tryWithdrawRetry: () => {
            retriesLeft -= 1;
            return retriesLeft >= 0;
        },
    });
}

function describe(effects: readonly RequestEffect[]): readonly string[] {
    return effects.filter((effect) => effect.kind !== RequestEffectKind.ArmTimer).map((effect) => {
        switch (effect.kind) {
            case RequestEffectKind.Send:
                return `${effect.isResumption ? "resume" : "send"} ${effect.id.sequence} ${effect.gate.gate}`;
            case RequestEffectKind.Settle:
                return `${effect.mode} ${effect.id.sequence}`;
            case RequestEffectKind.SendLocalReply:
                return `reply ${effect.outcome}${effect.reason === undefined ? "" : ` ${effect.reason}`}`;
            case RequestEffectKind.AbortCaller:
            case RequestEffectKind.Release:
                return effect.kind;
            default:
                return `${effect.kind} ${effect.id.sequence}`;
        }
    });
}

const begin: RequestEvent = { kind: RequestEventKind.Begin };
const deadline: RequestEvent = { kind: RequestEventKind.DeadlineDue };
const finalSettle: RequestEvent = { kind: RequestEventKind.FinalSettleDue };
const refused = (sequence: number, reason: RefusalReason): RequestEvent =>
    ({ kind: RequestEventKind.Refused, id: id(sequence), reason, retryAfterMs: 0 });
const interrupted = (sequence: number): RequestEvent => ({ kind: RequestEventKind.Interrupted, id: id(sequence) });
const answerReady = (sequence: number): RequestEvent => ({ kind: RequestEventKind.AnswerReady, id: id(sequence) });
const queryDue = (sequence: number): RequestEvent => ({ kind: RequestEventKind.QueryDue, id: id(sequence) });
const settled = (sequence: number, verdict: SettleResult): RequestEvent => ({ kind: RequestEventKind.Settled, id: id(sequence), verdict });
const deliveryInterrupted = (sequence: number, canResume: boolean): RequestEvent =>
    ({ kind: RequestEventKind.DeliveryInterrupted, id: id(sequence), canResume });

interface Case {
    readonly title: string;
    readonly plan?: Partial<RequestPlan>;
    readonly gates?: readonly string[];
    readonly retries?: number;
    readonly events: readonly (RequestEvent | { readonly event: RequestEvent; readonly atMs: number })[];
    /** Effects of the last event, without timers. */
    readonly expected: readonly string[];
}

const idempotent = { isIdempotent: true };

const cases: readonly Case[] = [
    { title: "a request is sent to an endpoint", events: [begin], expected: ["send 1 a"] },
    { title: "a request without an available endpoint is reported as not run", gates: [], events: [begin], expected: ["reply not-run no-endpoint"] },
    { title: "a refused order is retried at another endpoint", events: [begin, refused(1, RefusalReason.Overloaded)], expected: ["send 2 b"] },
    {
        title: "a refused order is not retried once the retry budget is spent",
        retries: 0,
        events: [begin, refused(1, RefusalReason.Overloaded)],
        expected: ["reply not-run overloaded"],
    },
    {
        title: "an order refused by a draining endpoint is retried even if the retry budget is spent",
        retries: 0,
        events: [begin, refused(1, RefusalReason.Draining)],
        expected: ["send 2 b"],
    },
    {
        title: "an order refused as a duplicate may have run, so its gate is asked to void it",
        events: [begin, refused(1, RefusalReason.Duplicate)],
        expected: ["void 1"],
    },
    { title: "an order whose connection breaks is settled before it is retried", events: [begin, interrupted(1)], expected: ["void 1"] },
    {
        title: "a voided order is sent again",
        events: [begin, interrupted(1), settled(1, SettleResult.Voided)],
        expected: ["suspect-connection 1", "cancel 1", "send 2 b"],
    },
    {
        title: "the retained answer of a finished order is fetched",
        events: [begin, interrupted(1), settled(1, SettleResult.Finished)],
        expected: ["suspect-connection 1", "cancel 1", "fetch 1"],
    },
    { title: "an order that is still running is waited for", events: [begin, interrupted(1), settled(1, SettleResult.Started)], expected: [] },
    {
        title: "an order whose gate has restarted has an unknown outcome",
        events: [begin, interrupted(1), settled(1, SettleResult.Unknown)],
        expected: ["cancel 1", "reply unknown"],
    },
    {
        title: "an order whose gate cannot be reached is never sent again",
        events: [begin, interrupted(1), settled(1, SettleResult.Unreachable), { event: deadline, atMs: DEADLINE_MS }, finalSettle],
        expected: ["cancel 1", "reply unknown deadline-passed"],
    },
    {
        title: "an order whose retained answer is unavailable is reported as run",
        events: [begin, interrupted(1), settled(1, SettleResult.Finished), { kind: RequestEventKind.AnswerUnavailable, id: id(1) }],
        expected: ["reply ran"],
    },
    { title: "the gate is queried about an order without an answer", events: [begin, queryDue(1)], expected: ["query 1"] },
    {
        title: "an unanswered order that never arrived is voided before it is sent again",
        events: [begin, queryDue(1), settled(1, SettleResult.NeverArrived)],
        expected: ["void 1"],
    },
    {
        title: "the answer of a finished order is fetched only after a second query, as it may be in transit",
        events: [begin, queryDue(1), settled(1, SettleResult.Finished), queryDue(1), settled(1, SettleResult.Finished)],
        expected: ["suspect-connection 1", "cancel 1", "fetch 1"],
    },
    {
        title: "an order still queued at its deadline is voided and reported as not run",
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, settled(1, SettleResult.Voided)],
        expected: ["suspect-connection 1", "cancel 1", "reply not-run deadline-passed"],
    },
    {
        title: "an order still running at its deadline has an unknown outcome",
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, settled(1, SettleResult.Started)],
        expected: ["cancel 1", "reply unknown deadline-passed"],
    },
    {
        title: "a lookup whose connection breaks is retried at another endpoint",
        plan: idempotent,
        events: [begin, interrupted(1)],
        expected: ["send 2 b"],
    },
    {
        title: "an unanswered lookup that never arrived is retried at another endpoint",
        plan: idempotent,
        events: [begin, queryDue(1), settled(1, SettleResult.NeverArrived)],
        expected: ["suspect-connection 1", "cancel 1", "send 2 b"],
    },
    {
        title: "a slow lookup is hedged",
        plan: { isIdempotent: true, hedgeAfterMs: 50 },
        events: [begin, { kind: RequestEventKind.HedgeDue }],
        expected: ["send 2 b"],
    },
    {
        title: "a lookup is not hedged once the retry budget is spent",
        plan: { isIdempotent: true, hedgeAfterMs: 50 },
        retries: 0,
        events: [begin, { kind: RequestEventKind.HedgeDue }],
        expected: [],
    },
    {
        title: "the first answer of a hedged lookup wins and the other attempt is cancelled",
        plan: { isIdempotent: true, hedgeAfterMs: 50 },
        events: [begin, { kind: RequestEventKind.HedgeDue }, answerReady(2)],
        expected: ["cancel 1", "deliver 2"],
    },
    {
        title: "the late answer of the losing attempt of a hedged lookup is discarded",
        plan: { isIdempotent: true, hedgeAfterMs: 50 },
        events: [begin, { kind: RequestEventKind.HedgeDue }, answerReady(2), answerReady(1)],
        expected: ["cancel 1"],
    },
    {
        title: "an answer that arrives after the request has ended is discarded",
        plan: idempotent,
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, answerReady(1)],
        expected: ["cancel 1"],
    },
    {
        title: "a lookup whose answer does not match its digest is retried at another endpoint",
        plan: idempotent,
        events: [begin, { kind: RequestEventKind.AnswerCorrupt, id: id(1) }],
        expected: ["send 2 b"],
    },
    {
        title: "an interrupted download is resumed at another endpoint",
        plan: idempotent,
        events: [begin, answerReady(1), deliveryInterrupted(1, true)],
        expected: ["resume 2 b"],
    },
    {
        title: "an interrupted download that cannot be resumed is aborted, not ended cleanly",
        plan: idempotent,
        events: [begin, answerReady(1), deliveryInterrupted(1, false)],
        expected: ["abort-caller"],
    },
    {
        title: "a download in progress continues past the deadline",
        plan: idempotent,
        events: [begin, answerReady(1), { event: deadline, atMs: DEADLINE_MS }],
        expected: [],
    },
    {
        title: "a lookup is cancelled when its caller disconnects",
        plan: idempotent,
        events: [begin, { kind: RequestEventKind.CallerDisconnected }],
        expected: ["cancel 1"],
    },
    {
        title: "an order is voided if it has not started when its caller disconnects",
        events: [begin, { kind: RequestEventKind.CallerDisconnected }],
        expected: ["void 1"],
    },
    {
        title: "an order with an idempotency key is claimed before it is sent",
        plan: { isClaimRequired: true },
        events: [begin],
        expected: ["claim 1"],
    },
    {
        title: "a keyed order without a majority of witnesses releases its key and is reported as not run",
        plan: { isClaimRequired: true },
        events: [begin, { kind: RequestEventKind.ClaimDenied, id: id(1), reason: RefusalReason.NoWitnessMajority }],
        expected: ["release", "reply not-run no-witness-majority"],
    },
    {
        title: "a refused keyed order is claimed again before its next attempt",
        plan: { isClaimRequired: true },
        events: [begin, { kind: RequestEventKind.ClaimGranted, id: id(1) }, refused(1, RefusalReason.Overloaded)],
        expected: ["claim 2"],
    },
    {
        title: "a claim granted after the deadline is ignored",
        plan: { isClaimRequired: true },
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, { kind: RequestEventKind.ClaimGranted, id: id(1) }],
        expected: [],
    },
    {
        title: "a keyed order that has already run gets the earlier answer",
        plan: { isClaimRequired: true },
        events: [begin, { kind: RequestEventKind.ClaimFound, id: id(1), other: { id: id(9), gate: gate("z") } }],
        expected: ["fetch 9"],
    },
];

for (const { title, plan = {}, gates = ["a", "b", "c"], retries = 10, events, expected } of cases) {
    test(title, (t) => {
        const machine = create(plan, gates, retries);
        const results = events.map((entry) => "event" in entry ? machine.step(entry.event, entry.atMs) : machine.step(entry, 0));
        t.deepEqual(describe(results.at(-1) ?? []), [...expected]);
    });
}
