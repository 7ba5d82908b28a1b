import test from "ava";
import { SettleResult } from "../../../model/SettleResult.js";
import { GateRef } from "../../../model/GateRef.js";
import { ClaimedAttempt } from "../ClaimedAttempt.js";
import { ClaimEffect } from "../ClaimEffect.js";
import { ClaimEffectKind } from "../ClaimEffectKind.js";
import { ClaimEvent } from "../ClaimEvent.js";
import { ClaimEventKind } from "../ClaimEventKind.js";
import { RosterWitness } from "../RosterWitness.js";
import { WitnessReply } from "../WitnessReply.js";
import { WitnessReplyKind } from "../WitnessReplyKind.js";
import { ClaimMachine } from "./index.js";

const WITNESSES: readonly RosterWitness[] = ["a", "b", "c", "d", "e"].map((vm) => ({ vm, incarnation: vm, failureDomain: vm, linkAddress: vm }));
const GATE: GateRef = { vm: "g", gate: "g", endpointId: "g", failureDomain: "a", gateAddress: "g", linkAddress: "g" };
const own: ClaimedAttempt = { id: { entry: "own", sequence: 1 }, gate: GATE };
const other: ClaimedAttempt = { id: { entry: "other", sequence: 1 }, gate: GATE };

const granted: WitnessReply = { kind: WitnessReplyKind.Granted };
const abstains: WitnessReply = { kind: WitnessReplyKind.Abstains };
const held: WitnessReply = { kind: WitnessReplyKind.Held, claim: { claimant: "other", digest: "digest", attempts: [other] } };
const heldByOtherBody: WitnessReply = { kind: WitnessReplyKind.Held, claim: { claimant: "other", digest: "else", attempts: [other] } };

const want: ClaimEvent = { kind: ClaimEventKind.Want, attempt: own };
const replies = (round: number, ...all: readonly WitnessReply[]): readonly ClaimEvent[] =>
    all.map((reply, index) => ({ kind: ClaimEventKind.Reply, round, vm: WITNESSES[index]?.vm ?? "", reply }));
const settled = (verdict: SettleResult): ClaimEvent => ({ kind: ClaimEventKind.Settled, id: other.id, verdict });
const roundOver = (round: number): ClaimEvent => ({ kind: ClaimEventKind.RoundOver, round });

function create(epoch: number, witnessSets: readonly (readonly RosterWitness[])[]): ClaimMachine {
    return ClaimMachine.create({ key: "key", digest: "digest", claimant: "own", epoch, witnessSets, deadlineAtMs: 10_000 });
}

function describe(effects: readonly ClaimEffect[]): readonly string[] {
    const names = effects
        .filter((effect) => effect.kind !== ClaimEffectKind.ArmRound)
        .map((effect) => effect.kind === ClaimEffectKind.Denied ? `denied ${effect.reason}` : effect.kind);
    return [...new Set(names)];
}

interface Case {
    readonly title: string;
    readonly events: readonly ClaimEvent[];
    /** Distinct effects of the last event, timers left out. */
    readonly expected: readonly string[];
}

const cases: readonly Case[] = [
    { title: "a claim asks its witnesses", events: [want], expected: ["ask"] },
    { title: "two votes of five are not enough", events: [want, ...replies(1, granted, granted)], expected: [] },
    { title: "three votes of five win the key", events: [want, ...replies(1, granted, granted, granted)], expected: ["granted"] },
    { title: "two lost witnesses do not matter", events: [want, ...replies(1, abstains, abstains, granted, granted, granted)], expected: ["granted"] },
    { title: "one vote counts once", events: [want, ...replies(1, granted), ...replies(1, granted), ...replies(1, granted)], expected: [] },
    {
        title: "the attempts of an earlier claimant are settled at their gates",
        events: [want, ...replies(1, held, held, held, granted, granted)],
        expected: ["settle"],
    },
    {
        title: "even one earlier claim is settled, since its claimant may have won a majority",
        events: [want, ...replies(1, held, granted, granted), roundOver(1)],
        expected: ["settle"],
    },
    {
        title: "an earlier claimant's attempt found void is replaced",
        events: [want, ...replies(1, held, held, held, granted, granted), settled(SettleResult.Voided)],
        expected: ["ask"],
    },
    {
        title: "an earlier claimant's answer is found",
        events: [want, ...replies(1, held, held, held, granted, granted), settled(SettleResult.Finished)],
        expected: ["found"],
    },
    {
        title: "an earlier claimant's running attempt is asked about again",
        events: [want, ...replies(1, held, held, held, granted, granted), settled(SettleResult.Started), roundOver(2)],
        expected: ["settle"],
    },
    {
        title: "an earlier claimant's attempt at a restarted gate leaves the outcome unknown",
        events: [want, ...replies(1, held, held, held, granted, granted), settled(SettleResult.Unknown)],
        expected: ["unknown"],
    },
    {
        title: "another body under the key is refused",
        events: [want, ...replies(1, heldByOtherBody, heldByOtherBody, heldByOtherBody, granted, granted)],
        expected: ["denied key-body-mismatch"],
    },
    {
        title: "without a majority of votes the claim is denied in the end",
        events: [
            want,
            ...replies(1, abstains, abstains, abstains, granted, granted),
            roundOver(2),
            ...replies(3, abstains, abstains, abstains, granted, granted),
            roundOver(4),
            ...replies(5, abstains, abstains, abstains, granted, granted),
            roundOver(6),
            ...replies(7, abstains, abstains, abstains, granted, granted),
        ],
        expected: ["denied no-witness-majority"],
    },
];

for (const { title, events, expected } of cases) {
    test(title, (t) => {
        const machine = create(1, [WITNESSES]);
        const results = events.map((event) => machine.step(event, 0));
        t.deepEqual(describe(results.at(-1) ?? []), [...expected]);
    });
}

test("votes that come after the round do not count, since a witness may have lost its memory meanwhile", (t) => {
    const machine = create(1, [WITNESSES]);
    machine.step(want, 0);
    const results = replies(1, granted, granted, granted).map((event) => machine.step(event, 301));
    t.deepEqual(results.flat(), []);
});

test("in a joint roster a majority of both sets is needed", (t) => {
    const machine = create(2, [WITNESSES.slice(0, 3), WITNESSES.slice(2)]);
    machine.step(want, 0);
    const results = replies(1, granted, granted, granted, granted).map((event) => describe(machine.step(event, 0)));
    t.deepEqual(results, [[], [], [], ["granted"]]);
});
