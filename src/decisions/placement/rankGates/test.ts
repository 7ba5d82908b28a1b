import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { createLoadReport } from "../../../../test/fixtures/createLoadReport.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { GateLoadReport } from "../../fleet/GateLoadReport.js";
import { Grade } from "../../fleet/Grade.js";
import { isBlockedByGrade } from "../../serving/isBlockedByGrade/index.js";
import { ObservedOutcome } from "../../outliers/ObservedOutcome.js";
import { OutlierDetector } from "../../outliers/OutlierDetector/index.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
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
        record: { vm, failureDomain: vm.slice(0, 1), gateAddress: "a:1", run: 1, sequence: 1, isOpen: true, endpoint, limitPerSecond: undefined },
        load: load === undefined ? undefined : createLoadReport(vm, load),
        offersSinceReport: 0,
        isReachable: true,
        isCold: false,
        waitingMs: undefined,
        hasRefused: false,
        ...overrides,
    };
}

function bestVm(candidates: readonly PlacementCandidate[], requestKind = RequestKind.Once): string | undefined {
    return rankGates(candidates, requestKind, "z", 0, createRandom(3))[0]?.record.vm;
}

test("a gate with free slots ranks before a full one, and a shorter wait before a longer one", (t) => {
    t.is(bestVm([candidate("full", { running: 5, queued: 1 }), candidate("free", { running: 4 })]), "free");
    t.is(bestVm([candidate("long", { running: 5, queued: 9 }), candidate("short", { running: 5, queued: 2 })]), "short");
});

test("offers that this entry has made since the last report count as load", (t) => {
    t.is(bestVm([candidate("offered", {}, { offersSinceReport: 6 }), candidate("other", { running: 2 })]), "other");
});

test("requests of all kinds avoid doubted endpoints, which may fail retries as they failed first attempts", (t) => {
    const candidates = [candidate("doubted", { grade: Grade.Doubted }), candidate("trusted", { running: 1 })];
    t.is(bestVm(candidates), "trusted");
    t.is(bestVm(candidates, RequestKind.Repeatable), "trusted");
});

test("a slow idle endpoint ranks first for repeatable requests, and after a longer idle time for any request", (t) => {
    const idle = { serviceMs: 900, isIdle: true };
    t.is(bestVm([candidate("fast", { running: 3 }), candidate("slow", idle)], RequestKind.Repeatable), "slow");
    t.is(bestVm([candidate("fast", {}), candidate("slow", idle, { offersSinceReport: 1 })], RequestKind.Repeatable), "fast");
    t.is(bestVm([candidate("fast", { running: 2 }), candidate("slow", idle)]), "fast");
    const starved = { ...idle, trialWish: ProbeDemand.Any };
    t.is(bestVm([candidate("fast", { running: 3 }), candidate("slow", starved)]), "slow");
    t.is(bestVm([candidate("fast", {}), candidate("slow", starved, { offersSinceReport: 1 })]), "fast");
});

test("an endpoint that sheds more ranks later, but none is left out if all of them shed", (t) => {
    t.is(bestVm([candidate("sheds", { shedShare: 0.6 }), candidate("takes", { running: 2 })]), "takes");
    t.is(rankGates([candidate("a", { shedShare: 0.5 }), candidate("b", { shedShare: 0.5 })], RequestKind.Once, "z", 0, createRandom(3)).length, 2);
});

test("an ejected endpoint ranks last, except for an unreachable one", (t) => {
    const candidates = [
        candidate("unreachable", {}, { isReachable: false }),
        candidate("ejected", { grade: Grade.Ejected }),
        candidate("full", { running: 5, queued: 40 }),
    ];
    t.deepEqual(rankGates(candidates, RequestKind.Once, "z", 0, createRandom(3)).map(({ record }) => record.vm), ["full", "ejected", "unreachable"]);
});

test("a new endpoint gets its share of requests although its service time is not known", (t) => {
    const random = createRandom(5);
    let joined = 0;
    for (let draw = 0; draw < 300; draw += 1) {
        const fleet = [candidate("a", { running: 2 }), candidate("b", { running: 2 }), candidate("new", undefined, { isCold: true })];
        joined += rankGates(fleet, RequestKind.Repeatable, "z", 0, random)[0]?.record.vm === "new" ? 1 : 0;
    }
    t.true(joined >= 100, `${joined} of 300`);
});

test("among equal gates, one in the entry's own failure domain ranks first", (t) => {
    t.is(bestVm([candidate("a-1", {}), candidate("z-1", {}), candidate("b-1", {})]), "z-1");
});

test("a large body goes to the entry's own failure domain while there is a free slot, and a small one to the least busy gate", (t) => {
    const candidates = [candidate("a-1", { running: 2 }), candidate("z-1", { running: 4 })];
    const chosen = (bodyBytes: number): string | undefined =>
        rankGates(candidates, RequestKind.Once, "z", bodyBytes, createRandom(3))[0]?.record.vm;
    t.is(chosen(1_200), "a-1");
    t.is(chosen(60_000), "z-1");
});

test("a download prefers the entry's own failure domain while there is a free slot, and another domain to a long wait", (t) => {
    const near = candidate("z-1", { running: 4 });
    t.is(bestVm([candidate("a-1", {}), near], RequestKind.Download), "z-1");
    t.is(bestVm([candidate("a-1", {}), candidate("z-1", { running: 5, queued: 20 })], RequestKind.Download), "a-1");
});

test("non-repeatable requests are packed onto busy endpoints that have free slots; repeatable ones are spread", (t) => {
    const candidates = [candidate("idle", {}), candidate("busy", { running: 2 }), candidate("nearly-full", { running: 4 })];
    t.is(bestVm(candidates), "busy");
    t.is(bestVm(candidates, RequestKind.Repeatable), "idle");
});

interface SimulatedGate {
    readonly vm: string;
    readonly detector: OutlierDetector;
    grayUntilMs: number;
    running: { readonly startedAtMs: number; readonly endsAtMs: number }[];
    report: GateLoadReport;
}

interface SimulationRules {
    /** Request kind by whose rule non-repeatable requests are ranked. */
    readonly rankedAs: RequestKind;
    /** False if successes of requests that started before a failure count too. */
    readonly shouldIgnoreEarlierStarts: boolean;
}

interface SimulationResult {
    readonly failed: number;
    readonly refused: number;
    readonly served: number;
    readonly longestIdleS: number;
}

const SIMULATION_SLOTS = 8;
const SIMULATION_SUBSET = 12;
const STEP_MS = 10;

/**
 * Simulates a service of 60 endpoints with two fifths of its slots busy for a minute: two of three requests are
 * non-repeatable and take 1 s, the others 0.25 s. Each endpoint, every 30 s on average, enters a gray failure of three
 * seconds in which it fails 85% of its requests immediately. Entries place requests by reports that are up to 0.4 s old.
 */
function simulateGrayService({ rankedAs, shouldIgnoreEarlierStarts }: SimulationRules): SimulationResult {
    const random = createRandom(7);
    const gates = Array.from({ length: 60 }, (_unused, number): SimulatedGate => {
        const vm = `${number}`;
        const report = candidate(vm, { slots: SIMULATION_SLOTS, serviceMs: 800 }).load!;
        return { vm, detector: OutlierDetector.create(), grayUntilMs: 0, running: [], report };
    });
    const entries = gates.map(() => gates.map((gate) => ({ gate, order: random() }))
        .sort((left, right) => left.order - right.order).slice(0, SIMULATION_SUBSET).map(({ gate }) => gate));
    const lastRequestAtMs = new Map<string, number>();
    const result = { failed: 0, refused: 0, served: 0, longestIdleS: 0 };
    const place = (kind: RequestKind, nowMs: number): void => {
        const subset = entries[Math.floor(random() * entries.length)] ?? [];
        const ranked = rankGates(
            subset.map((gate) => candidate(gate.vm, gate.report)),
            kind === RequestKind.Once ? rankedAs : kind,
            "z",
            0,
            random,
        ).map(({ record }) => gates[Number(record.vm)]!);
        const gate = ranked.slice(0, 6).find(({ detector, running }) =>
            running.length < SIMULATION_SLOTS && !isBlockedByGrade(detector.grade(nowMs), { requestKind: kind }));
        if (gate === undefined) {
            result.refused += 1;
            return;
        }
        lastRequestAtMs.set(gate.vm, nowMs);
        const isFailed = nowMs < gate.grayUntilMs && random() < 0.85;
        if (isFailed) {
            gate.detector.observe(ObservedOutcome.Failure, nowMs, nowMs);
            result.failed += kind === RequestKind.Once ? 1 : 0;
            return;
        }
        result.served += 1;
        gate.running.push({ startedAtMs: nowMs, endsAtMs: nowMs + (kind === RequestKind.Once ? 1_000 : 250) });
    };
    for (let nowMs = 0; nowMs < 60_000; nowMs += STEP_MS) {
        gates.forEach((gate) => {
            gate.running.filter(({ endsAtMs }) => endsAtMs <= nowMs)
                .forEach(({ startedAtMs }) => gate.detector.observe(ObservedOutcome.Success, nowMs, shouldIgnoreEarlierStarts ? startedAtMs : nowMs));
            gate.running = gate.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
            if (nowMs >= gate.grayUntilMs && random() < STEP_MS / 30_000) {
                gate.grayUntilMs = nowMs + 3_000;
            }
            const idleS = (nowMs - (lastRequestAtMs.get(gate.vm) ?? 0)) / 1_000;
            if (gate.detector.grade(nowMs) !== Grade.Trusted) {
                lastRequestAtMs.set(gate.vm, nowMs);
            }
            else if (nowMs > 5_000) {
                result.longestIdleS = Math.max(result.longestIdleS, idleS);
            }
            if (nowMs % 400 === Number(gate.vm) % 40 * STEP_MS) {
                const trialWish = idleS > 1 ? ProbeDemand.Any : ProbeDemand.None;
                gate.report = { ...gate.report, running: gate.running.length, grade: gate.detector.grade(nowMs), isIdle: idleS > 0.5, trialWish };
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

test("with alternating gray failures, fewer non-repeatable requests fail when they are packed than when they are spread", (t) => {
    const spread = simulateGrayService({ rankedAs: RequestKind.Repeatable, shouldIgnoreEarlierStarts: false });
    const packed = simulateGrayService({ rankedAs: RequestKind.Once, shouldIgnoreEarlierStarts: true });
    t.log({ spread, packed, onlyStarts: simulateGrayService({ rankedAs: RequestKind.Repeatable, shouldIgnoreEarlierStarts: true }) });
    t.true(packed.failed < 0.8 * spread.failed);
    t.true(packed.refused <= spread.refused);
    t.true(packed.served >= spread.served);
    t.true(packed.longestIdleS <= 2, "a healthy endpoint gets a request within 2 s");
});
