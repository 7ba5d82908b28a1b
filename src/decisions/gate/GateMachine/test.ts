import test from "ava";
import { AttemptId } from "../../../model/AttemptId.js";
import { SettleResult } from "../../../model/SettleResult.js";
import { RefusalReason } from "../../../model/RefusalReason.js";
import { ServiceClass } from "../../../model/ServiceClass.js";
import { SettleMode } from "../../../model/SettleMode.js";
import { GateAttempt } from "../GateAttempt.js";
import { GateEffect } from "../GateEffect.js";
import { GateEffectKind } from "../GateEffectKind.js";
import { GateEvent } from "../GateEvent.js";
import { GateEventKind } from "../GateEventKind.js";
import { GateMachine } from "./index.js";

const GATE = "vm-1@a.1";

function id(sequence: number, entry = "entry"): AttemptId {
    return { entry, sequence };
}

function attempt(sequence: number, overrides: Partial<GateAttempt> = {}): GateAttempt {
    return {
        id: id(sequence),
        lowWater: 0,
        gate: GATE,
        customer: "customer",
        serviceClass: ServiceClass.Order,
        isIdempotent: false,
        keyed: false,
        deadlineAtMs: 1_000,
        ...overrides,
    };
}

function arrive(sequence: number, overrides: Partial<GateAttempt> = {}): GateEvent {
    return { kind: GateEventKind.Arrive, attempt: attempt(sequence, overrides) };
}

function settle(sequence: number, mode = SettleMode.Void, lowWater = 0): GateEvent {
    return { kind: GateEventKind.Settle, id: id(sequence), gate: GATE, lowWater, keyed: false, mode };
}

function finish(sequence: number): GateEvent {
    return { kind: GateEventKind.Finish, id: id(sequence) };
}

function describe(effects: readonly GateEffect[]): readonly string[] {
    return effects.map((effect) => {
        switch (effect.kind) {
            case GateEffectKind.Refuse:
                return `refuse ${effect.id.sequence} ${effect.reason}`;
            case GateEffectKind.Verdict:
                return `verdict ${effect.id.sequence} ${effect.verdict}`;
            case GateEffectKind.Drained:
                return "drained";
            default:
                return `${effect.kind} ${effect.id.sequence}`;
        }
    });
}

interface Case {
    readonly title: string;
    readonly slots?: number;
    readonly reservedSlots?: number;
    readonly queue?: number;
    readonly events: readonly (GateEvent | { readonly event: GateEvent; readonly atMs: number })[];
    /** Effects of the last event. */
    readonly expected: readonly string[];
}

const lookup = { serviceClass: ServiceClass.Lookup, isIdempotent: true };

const cases: readonly Case[] = [
    { title: "an attempt starts while there is a free slot", events: [arrive(1)], expected: ["start 1"] },
    { title: "an attempt waits while all slots are taken", slots: 1, events: [arrive(1), arrive(2)], expected: [] },
    { title: "a waiting attempt starts when a slot becomes free", slots: 1, events: [arrive(1), arrive(2), finish(1)], expected: ["start 2"] },
    {
        title: "a duplicate that arrives while the original is running is refused",
        events: [arrive(1), arrive(1)],
        expected: [`refuse 1 ${RefusalReason.Duplicate}`],
    },
    {
        title: "a duplicate that arrives after the original has finished is refused",
        events: [arrive(1), finish(1), arrive(1)],
        expected: [`refuse 1 ${RefusalReason.Duplicate}`],
    },
    {
        title: "an attempt for another incarnation of the gate is refused",
        events: [arrive(1, { gate: "vm-1@b.1" })],
        expected: [`refuse 1 ${RefusalReason.WrongIncarnation}`],
    },
    {
        title: "a void request before the attempt arrives returns the verdict voided",
        events: [settle(1)],
        expected: [`verdict 1 ${SettleResult.Voided}`],
    },
    {
        title: "an attempt that arrives after it was voided never starts",
        events: [settle(1), arrive(1)],
        expected: [`refuse 1 ${RefusalReason.Voided}`],
    },
    {
        title: "a query before the attempt arrives does not void it",
        events: [settle(1, SettleMode.Query), arrive(1)],
        expected: ["start 1"],
    },
    {
        title: "a void request removes a waiting attempt from the queue",
        slots: 1,
        events: [arrive(1), arrive(2), settle(2), finish(1)],
        expected: [],
    },
    {
        title: "a void request for a running attempt returns the verdict started",
        events: [arrive(1), settle(1)],
        expected: [`verdict 1 ${SettleResult.Started}`],
    },
    {
        title: "a void request for a finished attempt returns the verdict finished",
        events: [arrive(1), finish(1), settle(1)],
        expected: [`verdict 1 ${SettleResult.Finished}`],
    },
    {
        title: "a settle message for another incarnation of the gate returns the verdict unknown",
        events: [{ kind: GateEventKind.Settle, id: id(1), gate: "vm-1@b.1", lowWater: 0, keyed: false, mode: SettleMode.Void }],
        expected: [`verdict 1 ${SettleResult.Unknown}`],
    },
    {
        title: "an attempt below the low-water mark never starts",
        events: [arrive(5, { lowWater: 5 }), arrive(3, { lowWater: 3 })],
        expected: [`refuse 3 ${RefusalReason.Voided}`],
    },
    {
        title: "a forgotten attempt below the low-water mark is unknown, not voided",
        events: [arrive(1), finish(1), arrive(5, { lowWater: 5 }), settle(1)],
        expected: [`verdict 1 ${SettleResult.Unknown}`],
    },
    {
        title: "the phase of keyed work is kept below the low-water mark",
        events: [arrive(1, { keyed: true }), finish(1), arrive(5, { lowWater: 5 }), settle(1)],
        expected: [`verdict 1 ${SettleResult.Finished}`],
    },
    {
        title: "a waiting attempt whose connection is lost never starts",
        slots: 1,
        events: [arrive(1), arrive(2), { kind: GateEventKind.EntryDisconnected, id: id(2) }, finish(1)],
        expected: [],
    },
    {
        title: "running idempotent work is cancelled when its connection is lost",
        events: [arrive(1, lookup), { kind: GateEventKind.EntryDisconnected, id: id(1) }],
        expected: ["cancel-backend 1"],
    },
    {
        title: "running work that is not idempotent continues when its connection is lost",
        events: [arrive(1), { kind: GateEventKind.EntryDisconnected, id: id(1) }],
        expected: [],
    },
    {
        title: "new work is refused during a drain",
        events: [{ kind: GateEventKind.StartDrain }, arrive(1)],
        expected: [`refuse 1 ${RefusalReason.Draining}`],
    },
    {
        title: "a drain ends once the work in flight has finished",
        events: [arrive(1), { kind: GateEventKind.StartDrain }, finish(1)],
        expected: ["drained"],
    },
    {
        title: "waiting work can still start during a drain",
        slots: 1,
        events: [arrive(1), arrive(2), { kind: GateEventKind.StartDrain }, finish(1)],
        expected: ["start 2"],
    },
    {
        title: "work that waits too long during a drain is refused",
        slots: 1,
        events: [
            arrive(1, { deadlineAtMs: 90_000 }),
            arrive(2, { deadlineAtMs: 90_000 }),
            { kind: GateEventKind.StartDrain },
            { event: { kind: GateEventKind.Tick }, atMs: 2_000 },
        ],
        expected: [`refuse 2 ${RefusalReason.Draining}`],
    },
    {
        title: "waiting work is refused when its deadline passes",
        slots: 1,
        events: [arrive(1), arrive(2), { event: { kind: GateEventKind.Tick }, atMs: 1_000 }],
        expected: [`refuse 2 ${RefusalReason.DeadlinePassed}`],
    },
    {
        title: "an attempt whose deadline has passed is refused on arrival",
        events: [{ event: arrive(1), atMs: 1_000 }],
        expected: [`refuse 1 ${RefusalReason.DeadlinePassed}`],
    },
    {
        title: "an attempt that could not start before its deadline is refused early",
        slots: 1,
        events: [arrive(1), arrive(2, { deadlineAtMs: 10 })],
        expected: [`refuse 2 ${RefusalReason.Overloaded}`],
    },
    {
        title: "a full queue refuses the newest attempt of the customer with the longest queue",
        slots: 1,
        queue: 2,
        events: [arrive(1), arrive(2), arrive(3), arrive(4, { customer: "other" })],
        expected: [`refuse 3 ${RefusalReason.Overloaded}`],
    },
    {
        title: "general work does not take reserved slots",
        slots: 2,
        reservedSlots: 1,
        events: [arrive(1, lookup), arrive(2, lookup)],
        expected: [],
    },
    {
        title: "orders take reserved slots while general work waits",
        slots: 2,
        reservedSlots: 1,
        events: [arrive(1, lookup), arrive(2, lookup), arrive(3)],
        expected: ["start 3"],
    },
];

for (const { title, slots = 5, reservedSlots = 0, queue = 10, events, expected } of cases) {
    test(title, (t) => {
        const machine = GateMachine.create(GATE, { slots, reservedSlots, connections: 400, keyedRetentionMs: 3_600_000, queue });
        const results = events.map((entry) => "event" in entry ? machine.step(entry.event, entry.atMs) : machine.step(entry, 0));
        t.deepEqual(describe(results.at(-1) ?? []), [...expected]);
    });
}

test("waiting customers are served round robin", (t) => {
    const machine = GateMachine.create(GATE, { slots: 1, reservedSlots: 0, connections: 400, keyedRetentionMs: 3_600_000, queue: 10 });
    machine.step(arrive(1), 0);
    ["a", "a", "a", "b"].forEach((customer, index) => machine.step(arrive(index + 2, { customer }), 0));
    const order = [1, 2, 5, 3].map((sequence) => describe(machine.step(finish(sequence), 0))[0]);
    t.deepEqual(order, ["start 2", "start 5", "start 3", "start 4"]);
});
