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
const heldWithOtherDigest: WitnessReply = { kind: WitnessReplyKind.Held, claim: { claimant: "other", digest: "else", attempts: [other] } };

const attemptRequested: ClaimEvent = { kind: ClaimEventKind.AttemptRequested, attempt: own };
const replies = (round: number, ...all: readonly WitnessReply[]): readonly ClaimEvent[] =>
    all.map((reply, index) => ({ kind: ClaimEventKind.Reply, round, vm: WITNESSES[index]?.vm ?? "", reply }));
const verdictReceived = (verdict: SettleResult): ClaimEvent => ({ kind: ClaimEventKind.VerdictReceived, id: other.id, verdict });
const roundTimeout = (round: number): ClaimEvent => ({ kind: ClaimEventKind.RoundTimeout, round });

function create(epoch: number, witnessSets: readonly (readonly RosterWitness[])[]): ClaimMachine {
    return ClaimMachine.create({ key: "key", digest: "digest", claimant: "own", epoch, witnessSets, deadlineAtMs: 10_000 });
}

function describe(effects: readonly ClaimEffect[]): readonly string[] {
    const names = effects
        .filter((effect) => effect.kind !== ClaimEffectKind.StartRoundTimer)
        .map((effect) => effect.kind === ClaimEffectKind.Denied ? `denied ${effect.reason}` : effect.kind);
    return [...new Set(names)];
}

interface Case {
    readonly title: string;
    readonly events: readonly ClaimEvent[];
    /** Distinct effects of the last event, without timers. */
    readonly expected: readonly string[];
}

const cases: readonly Case[] = [
    { title: "a requested attempt sends a claim to the witnesses", events: [attemptRequested], expected: ["send-request"] },
    { title: "two of five votes do not grant the key", events: [attemptRequested, ...replies(1, granted, granted)], expected: [] },
    { title: "three of five votes grant the key", events: [attemptRequested, ...replies(1, granted, granted, granted)], expected: ["granted"] },
    {
        title: "the key is granted although two of five witnesses abstain",
        events: [attemptRequested, ...replies(1, abstains, abstains, granted, granted, granted)],
        expected: ["granted"],
    },
    {
        title: "repeated votes of one witness count once",
        events: [attemptRequested, ...replies(1, granted), ...replies(1, granted), ...replies(1, granted)],
        expected: [],
    },
    {
        title: "the gates of an earlier claimant's attempts are asked for the outcomes",
        events: [attemptRequested, ...replies(1, held, held, held, granted, granted)],
        expected: ["settle"],
    },
    {
        title: "a single conflicting claim is settled, since its claimant may have had a majority",
        events: [attemptRequested, ...replies(1, held, granted, granted), roundTimeout(1)],
        expected: ["settle"],
    },
    {
        title: "the claim is sent again once the earlier claimant's attempt is void",
        events: [attemptRequested, ...replies(1, held, held, held, granted, granted), verdictReceived(SettleResult.Voided)],
        expected: ["send-request"],
    },
    {
        title: "a finished attempt of an earlier claimant is reported as already executed",
        events: [attemptRequested, ...replies(1, held, held, held, granted, granted), verdictReceived(SettleResult.Finished)],
        expected: ["already-executed"],
    },
    {
        title: "the gate of an earlier claimant's running attempt is asked again",
        events: [attemptRequested, ...replies(1, held, held, held, granted, granted), verdictReceived(SettleResult.Started), roundTimeout(2)],
        expected: ["settle"],
    },
    {
        title: "an earlier claimant's attempt at a restarted gate leaves the outcome unknown",
        events: [attemptRequested, ...replies(1, held, held, held, granted, granted), verdictReceived(SettleResult.Unknown)],
        expected: ["outcome-unknown"],
    },
    {
        title: "a claim is denied if the key is held with another digest",
        events: [attemptRequested, ...replies(1, heldWithOtherDigest, heldWithOtherDigest, heldWithOtherDigest, granted, granted)],
        expected: ["denied key-body-mismatch"],
    },
    {
        title: "a claim is denied after four rounds without a majority",
        events: [
            attemptRequested,
            ...replies(1, abstains, abstains, abstains, granted, granted),
            roundTimeout(2),
            ...replies(3, abstains, abstains, abstains, granted, granted),
            roundTimeout(4),
            ...replies(5, abstains, abstains, abstains, granted, granted),
            roundTimeout(6),
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

test("votes that arrive after the round timeout do not count, since a witness may have restarted and lost its claims", (t) => {
    const machine = create(1, [WITNESSES]);
    machine.step(attemptRequested, 0);
    const results = replies(1, granted, granted, granted).map((event) => machine.step(event, 301));
    t.deepEqual(results.flat(), []);
});

test("a joint roster requires a majority of both witness sets", (t) => {
    const machine = create(2, [WITNESSES.slice(0, 3), WITNESSES.slice(2)]);
    machine.step(attemptRequested, 0);
    const results = replies(1, granted, granted, granted, granted).map((event) => describe(machine.step(event, 0)));
    t.deepEqual(results, [[], [], [], ["granted"]]);
});
