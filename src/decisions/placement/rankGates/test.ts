import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { createLoadReport } from "../../../../test/fixtures/createLoadReport.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { GateLoadReport } from "../../fleet/GateLoadReport.js";
import { Grade } from "../../fleet/Grade.js";
import { isBarredBy } from "../../serving/isBarredBy/index.js";
import { ObservedOutcome } from "../../suspicion/ObservedOutcome.js";
import { OutcomeTest } from "../../suspicion/OutcomeTest/index.js";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { PlacementCandidate } from "../PlacementCandidate.js";
import { rankGates } from "./index.js";

function candidate(vm: string, load: Partial<GateLoadReport> | undefined, overrides: Partial<PlacementCandidate> = {}): PlacementCandidate {
    const endpoint = {
        id: `i-${vm}`,
        bornAtMs: 1,
        sequence: 1,
        service: "s",
        phase: EndpointPhase.Ready,
        slots: 5,
        coldRemainingMs: 0,
    };
    return {
        record: { vm, failureDomain: vm.slice(0, 1), gateAddress: "a:1", run: 1, sequence: 1, isOpen: true, endpoint },
        load: load === undefined ? undefined : createLoadReport(vm, load),
        offeredSince: 0,
        isReachable: true,
        isCold: false,
        hasRefused: false,
        ...overrides,
    };
}

function first(candidates: readonly PlacementCandidate[], requestKind = RequestKind.Once): string | undefined {
    return rankGates(candidates, requestKind, "z", 0, createRandom(3))[0]?.record.vm;
}

test("a gate with free slots goes before a full one, and the shorter wait before the longer", (t) => {
    t.is(first([candidate("full", { running: 5, queued: 1 }), candidate("free", { running: 4 })]), "free");
    t.is(first([candidate("long", { running: 5, queued: 9 }), candidate("short", { running: 5, queued: 2 })]), "short");
});

test("what this entry has offered since the last report counts as load", (t) => {
    t.is(first([candidate("offered", {}, { offeredSince: 6 }), candidate("other", { running: 2 })]), "other");
});

test("work of all kinds avoids doubted endpoints, which fail second attempts as they failed the first", (t) => {
    const candidates = [candidate("doubted", { grade: Grade.Doubted }), candidate("trusted", { running: 1 })];
    t.is(first(candidates), "trusted");
    t.is(first(candidates, RequestKind.Repeatable), "trusted");
});

test("a slow endpoint that has had no work for a time gets some that may be repeated, and after a longer time any", (t) => {
    const idle = { serviceMs: 900, isIdle: true };
    t.is(first([candidate("fast", { running: 3 }), candidate("slow", idle)], RequestKind.Repeatable), "slow");
    t.is(first([candidate("fast", {}), candidate("slow", idle, { offeredSince: 1 })], RequestKind.Repeatable), "fast");
    t.is(first([candidate("fast", { running: 2 }), candidate("slow", idle)]), "fast");
    const starved = { ...idle, trialWish: TrialWish.Any };
    t.is(first([candidate("fast", { running: 3 }), candidate("slow", starved)]), "slow");
    t.is(first([candidate("fast", {}), candidate("slow", starved, { offeredSince: 1 })]), "fast");
});

test("of endpoints that are alike, those that turn more away come later, and where all do none is left out", (t) => {
    t.is(first([candidate("sheds", { shedShare: 0.6 }), candidate("takes", { running: 2 })]), "takes");
    t.is(rankGates([candidate("a", { shedShare: 0.5 }), candidate("b", { shedShare: 0.5 })], RequestKind.Once, "z", 0, createRandom(3)).length, 2);
});

test("an ejected endpoint comes last but for one that cannot be reached", (t) => {
    const candidates = [
        candidate("unreachable", {}, { isReachable: false }),
        candidate("ejected", { grade: Grade.Ejected }),
        candidate("full", { running: 5, queued: 40 }),
    ];
    t.deepEqual(rankGates(candidates, RequestKind.Once, "z", 0, createRandom(3)).map(({ record }) => record.vm), ["full", "ejected", "unreachable"]);
});

test("an endpoint that has just joined gets its share although nothing is known of its speed", (t) => {
    const random = createRandom(5);
    let joined = 0;
    for (let draw = 0; draw < 300; draw += 1) {
        const fleet = [candidate("a", { running: 2 }), candidate("b", { running: 2 }), candidate("new", undefined, { isCold: true })];
        joined += rankGates(fleet, RequestKind.Repeatable, "z", 0, random)[0]?.record.vm === "new" ? 1 : 0;
    }
    t.true(joined >= 100, `${joined} of 300`);
});

test("among equals the entry's own failure domain comes first", (t) => {
    t.is(first([candidate("a-1", {}), candidate("z-1", {}), candidate("b-1", {})]), "z-1");
});

test("a large body goes to the own failure domain while there is a free slot, and a small one where there is more room", (t) => {
    const candidates = [candidate("a-1", { running: 2 }), candidate("z-1", { running: 4 })];
    const chosen = (bodyBytes: number): string | undefined =>
        rankGates(candidates, RequestKind.Once, "z", bodyBytes, createRandom(3))[0]?.record.vm;
    t.is(chosen(1_200), "a-1");
    t.is(chosen(60_000), "z-1");
});

test("a large answer is fetched from the own failure domain while there is a free slot, and from others before it waits long", (t) => {
    const near = candidate("z-1", { running: 4 });
    t.is(first([candidate("a-1", {}), near], RequestKind.Download), "z-1");
    t.is(first([candidate("a-1", {}), candidate("z-1", { running: 5, queued: 20 })], RequestKind.Download), "a-1");
});

test("work that must not be repeated goes to endpoints at work, as long as they have slots to spare; other work spreads", (t) => {
    const candidates = [candidate("idle", {}), candidate("busy", { running: 2 }), candidate("nearly-full", { running: 4 })];
    t.is(first(candidates), "busy");
    t.is(first(candidates, RequestKind.Repeatable), "idle");
});

interface ModelGate {
    readonly vm: string;
    readonly test: OutcomeTest;
    grayUntilMs: number;
    running: { readonly startedAtMs: number; readonly endsAtMs: number }[];
    report: GateLoadReport;
}

interface ModelRules {
    /** Kind by whose rule requests are ranked that must not be repeated. */
    readonly rankedAs: RequestKind;
    /** False if also the successes of requests that began before a failure count. */
    readonly weighsStarts: boolean;
}

interface ModelResult {
    readonly failed: number;
    readonly refused: number;
    readonly served: number;
    readonly longestIdleS: number;
}

const MODEL_SLOTS = 8;
const MODEL_SUBSET = 12;
const STEP_MS = 10;

/**
 * Plays a service of 60 endpoints at two fifths of its slots for a minute: two of three requests must not be repeated and
 * take 1 s, the others 0.25 s. At each endpoint, every 30 s on average, three seconds begin in which it fails 85% at once.
 * Entries place by reports that are up to 0.4 s old.
 */
function playGrayService({ rankedAs, weighsStarts }: ModelRules): ModelResult {
    const random = createRandom(7);
    const gates = Array.from({ length: 60 }, (_unused, number): ModelGate => {
        const vm = `${number}`;
        const report = candidate(vm, { slots: MODEL_SLOTS, serviceMs: 800 }).load!;
        return { vm, test: OutcomeTest.create(), grayUntilMs: 0, running: [], report };
    });
    const entries = gates.map(() => gates.map((gate) => ({ gate, order: random() }))
        .sort((left, right) => left.order - right.order).slice(0, MODEL_SUBSET).map(({ gate }) => gate));
    const lastWorkMs = new Map<string, number>();
    const result = { failed: 0, refused: 0, served: 0, longestIdleS: 0 };
    const place = (kind: RequestKind, nowMs: number): void => {
        const known = entries[Math.floor(random() * entries.length)] ?? [];
        const ranked = rankGates(
            known.map((gate) => candidate(gate.vm, gate.report)),
            kind === RequestKind.Once ? rankedAs : kind,
            "z",
            0,
            random,
        ).map(({ record }) => gates[Number(record.vm)]!);
        const gate = ranked.slice(0, 6).find(({ test: outcomes, running }) =>
            running.length < MODEL_SLOTS && !isBarredBy(outcomes.grade(nowMs), { requestKind: kind }));
        if (gate === undefined) {
            result.refused += 1;
            return;
        }
        lastWorkMs.set(gate.vm, nowMs);
        const isFailed = nowMs < gate.grayUntilMs && random() < 0.85;
        if (isFailed) {
            gate.test.observe(ObservedOutcome.Failure, nowMs, nowMs);
            result.failed += kind === RequestKind.Once ? 1 : 0;
            return;
        }
        result.served += 1;
        gate.running.push({ startedAtMs: nowMs, endsAtMs: nowMs + (kind === RequestKind.Once ? 1_000 : 250) });
    };
    for (let nowMs = 0; nowMs < 60_000; nowMs += STEP_MS) {
        gates.forEach((gate) => {
            gate.running.filter(({ endsAtMs }) => endsAtMs <= nowMs)
                .forEach(({ startedAtMs }) => gate.test.observe(ObservedOutcome.Success, nowMs, weighsStarts ? startedAtMs : nowMs));
            gate.running = gate.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
            if (nowMs >= gate.grayUntilMs && random() < STEP_MS / 30_000) {
                gate.grayUntilMs = nowMs + 3_000;
            }
            const idleS = (nowMs - (lastWorkMs.get(gate.vm) ?? 0)) / 1_000;
            if (gate.test.grade(nowMs) !== Grade.Trusted) {
                lastWorkMs.set(gate.vm, nowMs);
            }
            else if (nowMs > 5_000) {
                result.longestIdleS = Math.max(result.longestIdleS, idleS);
            }
            if (nowMs % 400 === Number(gate.vm) % 40 * STEP_MS) {
                const trialWish = idleS > 1 ? TrialWish.Any : TrialWish.None;
                gate.report = { ...gate.report, running: gate.running.length, grade: gate.test.grade(nowMs), isIdle: idleS > 0.5, trialWish };
            }
        });
        for (let request = 0; request < 2; request += 1) {
            if (random() < 0.8) {
                place(RequestKind.Once, nowMs);
            }
        }
        if (random() < 0.8) {
            place(RequestKind.Repeatable, nowMs);
        }
    }
    return result;
}

test("of a service whose endpoints turn gray by turns, fewer requests that must not be repeated fail than if they were spread", (t) => {
    const spread = playGrayService({ rankedAs: RequestKind.Repeatable, weighsStarts: false });
    const packed = playGrayService({ rankedAs: RequestKind.Once, weighsStarts: true });
    t.log({ spread, packed, onlyStarts: playGrayService({ rankedAs: RequestKind.Repeatable, weighsStarts: true }) });
    t.true(packed.failed < 0.8 * spread.failed);
    t.true(packed.refused <= spread.refused);
    t.true(packed.served >= spread.served);
    t.true(packed.longestIdleS <= 2, "the floor: a sound endpoint gets work within 2 s");
});
