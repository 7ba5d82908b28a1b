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
        idempotent: false,
        claimed: false,
        hedgeAfterMs: undefined,
        queryAfterMs: 100,
        deadlineAtMs: DEADLINE_MS,
        maxAttempts: 3,
        ...overrides,
    }, {
        choose: (excluded) => gates.map(gate).find((candidate) => !excluded.some((other) => other.gate === candidate.gate)),
        nextId: () => {
            sequence += 1;
            return id(sequence);
        },
        withdrawRetry: () => {
            retriesLeft -= 1;
            return retriesLeft >= 0;
        },
    });
}

function describe(effects: readonly RequestEffect[]): readonly string[] {
    return effects.filter((effect) => effect.kind !== RequestEffectKind.Arm).map((effect) => {
        switch (effect.kind) {
            case RequestEffectKind.Send:
                return `${effect.resume ? "resume" : "send"} ${effect.id.sequence} ${effect.gate.gate}`;
            case RequestEffectKind.Settle:
                return `${effect.mode} ${effect.id.sequence}`;
            case RequestEffectKind.Conclude:
                return `conclude ${effect.outcome}${effect.reason === undefined ? "" : ` ${effect.reason}`}`;
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
const broken = (sequence: number): RequestEvent => ({ kind: RequestEventKind.Broken, id: id(sequence) });
const head = (sequence: number): RequestEvent => ({ kind: RequestEventKind.Head, id: id(sequence) });
const queryDue = (sequence: number): RequestEvent => ({ kind: RequestEventKind.QueryDue, id: id(sequence) });
const settled = (sequence: number, verdict: SettleResult): RequestEvent => ({ kind: RequestEventKind.Settled, id: id(sequence), verdict });
const bodyBroken = (sequence: number, resumable: boolean): RequestEvent => ({ kind: RequestEventKind.BodyBroken, id: id(sequence), resumable });

interface Case {
    readonly title: string;
    readonly plan?: Partial<RequestPlan>;
    readonly gates?: readonly string[];
    readonly retries?: number;
    readonly events: readonly (RequestEvent | { readonly event: RequestEvent; readonly atMs: number })[];
    /** Effects of the last event, timers left out. */
    readonly expected: readonly string[];
}

const idempotent = { idempotent: true };

const cases: readonly Case[] = [
    { title: "a request is sent to an endpoint", events: [begin], expected: ["send 1 a"] },
    { title: "a request without an endpoint did not run", gates: [], events: [begin], expected: ["conclude not-run no-endpoint"] },
    { title: "an order refused goes to another endpoint", events: [begin, refused(1, RefusalReason.Overloaded)], expected: ["send 2 b"] },
    {
        title: "an order refused is not retried above the budget",
        retries: 0,
        events: [begin, refused(1, RefusalReason.Overloaded)],
        expected: ["conclude not-run overloaded"],
    },
    {
        title: "an order refused by a drain is retried whatever the budget",
        retries: 0,
        events: [begin, refused(1, RefusalReason.Draining)],
        expected: ["send 2 b"],
    },
    {
        title: "an order refused as a duplicate may have run, so its gate is asked",
        events: [begin, refused(1, RefusalReason.Duplicate)],
        expected: ["void 1"],
    },
    { title: "an order whose connection breaks is settled before anything else", events: [begin, broken(1)], expected: ["void 1"] },
    {
        title: "an order found void is sent again",
        events: [begin, broken(1), settled(1, SettleResult.Voided)],
        expected: ["suspect-connection 1", "cancel 1", "send 2 b"],
    },
    {
        title: "an order found finished gets its retained answer",
        events: [begin, broken(1), settled(1, SettleResult.Finished)],
        expected: ["suspect-connection 1", "cancel 1", "fetch 1"],
    },
    { title: "an order found running is waited for", events: [begin, broken(1), settled(1, SettleResult.Started)], expected: [] },
    {
        title: "an order whose gate has restarted has an unknown outcome",
        events: [begin, broken(1), settled(1, SettleResult.Unknown)],
        expected: ["cancel 1", "conclude unknown"],
    },
    {
        title: "an order whose gate cannot be reached is never sent again",
        events: [begin, broken(1), settled(1, SettleResult.Unreachable), { event: deadline, atMs: DEADLINE_MS }, finalSettle],
        expected: ["cancel 1", "conclude unknown deadline-passed"],
    },
    {
        title: "an order whose retained answer is gone ran",
        events: [begin, broken(1), settled(1, SettleResult.Finished), { kind: RequestEventKind.AnswerUnavailable, id: id(1) }],
        expected: ["conclude ran"],
    },
    { title: "a mute order is asked about", events: [begin, queryDue(1)], expected: ["query 1"] },
    {
        title: "a mute order that never arrived is voided before it is sent again",
        events: [begin, queryDue(1), settled(1, SettleResult.NeverArrived)],
        expected: ["void 1"],
    },
    {
        title: "a mute order that finished is fetched once its answer had time to arrive",
        events: [begin, queryDue(1), settled(1, SettleResult.Finished), queryDue(1), settled(1, SettleResult.Finished)],
        expected: ["suspect-connection 1", "cancel 1", "fetch 1"],
    },
    {
        title: "an order that waits at its deadline is voided, so that it did not run",
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, settled(1, SettleResult.Voided)],
        expected: ["suspect-connection 1", "cancel 1", "conclude not-run deadline-passed"],
    },
    {
        title: "an order that runs at its deadline has an unknown outcome",
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, settled(1, SettleResult.Started)],
        expected: ["cancel 1", "conclude unknown deadline-passed"],
    },
    { title: "a lookup whose connection breaks goes to another endpoint", plan: idempotent, events: [begin, broken(1)], expected: ["send 2 b"] },
    {
        title: "a mute lookup that never arrived moves on",
        plan: idempotent,
        events: [begin, queryDue(1), settled(1, SettleResult.NeverArrived)],
        expected: ["suspect-connection 1", "cancel 1", "send 2 b"],
    },
    {
        title: "a slow lookup is hedged",
        plan: { idempotent: true, hedgeAfterMs: 50 },
        events: [begin, { kind: RequestEventKind.HedgeDue }],
        expected: ["send 2 b"],
    },
    {
        title: "a lookup is not hedged above the budget",
        plan: { idempotent: true, hedgeAfterMs: 50 },
        retries: 0,
        events: [begin, { kind: RequestEventKind.HedgeDue }],
        expected: [],
    },
    {
        title: "the first answer of a hedged lookup wins and the other attempt is cancelled",
        plan: { idempotent: true, hedgeAfterMs: 50 },
        events: [begin, { kind: RequestEventKind.HedgeDue }, head(2)],
        expected: ["cancel 1", "deliver 2"],
    },
    {
        title: "the late answer of a hedge's loser is thrown away",
        plan: { idempotent: true, hedgeAfterMs: 50 },
        events: [begin, { kind: RequestEventKind.HedgeDue }, head(2), head(1)],
        expected: ["cancel 1"],
    },
    {
        title: "an answer that comes after the end is thrown away",
        plan: idempotent,
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, head(1)],
        expected: ["cancel 1"],
    },
    {
        title: "a lookup whose answer does not match its digest goes to another endpoint",
        plan: idempotent,
        events: [begin, { kind: RequestEventKind.Corrupt, id: id(1) }],
        expected: ["send 2 b"],
    },
    {
        title: "a download that breaks off is resumed elsewhere",
        plan: idempotent,
        events: [begin, head(1), bodyBroken(1, true)],
        expected: ["resume 2 b"],
    },
    {
        title: "a download that cannot be resumed is aborted, never ended cleanly",
        plan: idempotent,
        events: [begin, head(1), bodyBroken(1, false)],
        expected: ["abort-caller"],
    },
    {
        title: "a download goes on past the deadline",
        plan: idempotent,
        events: [begin, head(1), { event: deadline, atMs: DEADLINE_MS }],
        expected: [],
    },
    { title: "a lookup is cancelled when its caller is gone", plan: idempotent, events: [begin, { kind: RequestEventKind.CallerLost }], expected: ["cancel 1"] },
    { title: "an order is voided if it has not started when its caller is gone", events: [begin, { kind: RequestEventKind.CallerLost }], expected: ["void 1"] },
    { title: "a keyed order is claimed before it is sent", plan: { claimed: true }, events: [begin], expected: ["claim 1"] },
    {
        title: "a keyed order without a majority of witnesses did not run and gives its key up",
        plan: { claimed: true },
        events: [begin, { kind: RequestEventKind.ClaimDenied, id: id(1), reason: RefusalReason.NoWitnessMajority }],
        expected: ["release", "conclude not-run no-witness-majority"],
    },
    {
        title: "a keyed order refused is claimed again before its next attempt",
        plan: { claimed: true },
        events: [begin, { kind: RequestEventKind.ClaimGranted, id: id(1) }, refused(1, RefusalReason.Overloaded)],
        expected: ["claim 2"],
    },
    {
        title: "a claim granted after the deadline is not used",
        plan: { claimed: true },
        events: [begin, { event: deadline, atMs: DEADLINE_MS }, { kind: RequestEventKind.ClaimGranted, id: id(1) }],
        expected: [],
    },
    {
        title: "a keyed order that ran before gets the earlier answer",
        plan: { claimed: true },
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
