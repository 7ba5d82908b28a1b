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
import { PlacementPolicy } from "../PlacementPolicy.js";
import { PlacementRequest } from "../PlacementRequest.js";
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

function request(requestKind: RequestKind, transferBytes = 0, targetRemainingMs = 4_000): PlacementRequest {
    return { policy: PlacementPolicy.NearestInTime, requestKind, transferBytes, serviceRatio: 1, targetRemainingMs };
}

function bestVm(candidates: readonly PlacementCandidate[], requestKind = RequestKind.Once): string | undefined {
    return rankGates(candidates, request(requestKind), "z", createRandom(3))[0]?.record.vm;
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
    t.is(rankGates([candidate("a", { shedShare: 0.5 }), candidate("b", { shedShare: 0.5 })], request(RequestKind.Once), "z", createRandom(3)).length, 2);
});

test("an ejected endpoint ranks last, except for an unreachable one", (t) => {
    const candidates = [
        candidate("unreachable", {}, { isReachable: false }),
        candidate("ejected", { grade: Grade.Ejected }),
        candidate("full", { running: 5, queued: 40 }),
    ];
    t.deepEqual(rankGates(candidates, request(RequestKind.Once), "z", createRandom(3)).map(({ record }) => record.vm), ["full", "ejected", "unreachable"]);
});

test("a new endpoint gets its share of requests although its service time is not known", (t) => {
    const random = createRandom(5);
    let joined = 0;
    for (let draw = 0; draw < 300; draw += 1) {
        const fleet = [candidate("a", { running: 2 }), candidate("b", { running: 2 }), candidate("new", undefined, { isCold: true })];
        joined += rankGates(fleet, request(RequestKind.Repeatable), "z", random)[0]?.record.vm === "new" ? 1 : 0;
    }
    t.true(joined >= 100, `${joined} of 300`);
});

test("among equal gates, one in the entry's own failure domain ranks first", (t) => {
    t.is(bestVm([candidate("a-1", {}), candidate("z-1", {}), candidate("b-1", {})]), "z-1");
});

test("a large body goes to the entry's own failure domain while there is a free slot, and a small one to the least busy gate", (t) => {
    const candidates = [candidate("a-1", { running: 2 }), candidate("z-1", { running: 4 })];
    const chosen = (bodyBytes: number): string | undefined =>
        rankGates(candidates, request(RequestKind.Once, bodyBytes), "z", createRandom(3))[0]?.record.vm;
    t.is(chosen(1_200), "a-1");
    t.is(chosen(60_000), "z-1");
});

interface CrossingCase {
    /** Load and cause that the case stands for. */
    readonly load: string;
    readonly own: Partial<GateLoadReport>;
    readonly other: Partial<GateLoadReport>;
    readonly transferBytes: number;
    readonly targetMs: number;
    readonly chosen: string;
}

const FULL = { running: 8, slots: 8, serviceMs: 1_200 };
const EMPTY = { running: 0, slots: 8, serviceMs: 1_200 };
const SHORT_FULL = { ...FULL, serviceMs: 200 };
const SHORT_EMPTY = { ...EMPTY, serviceMs: 200 };
const CROSSING_CASES: readonly CrossingCase[] = [
    { load: "uploads, own domain nearly full", own: { ...FULL, running: 7 }, other: EMPTY, transferBytes: 60_000, targetMs: 4_000, chosen: "z-1" },
    { load: "uploads, short wait at home", own: { ...FULL, queued: 2 }, other: EMPTY, transferBytes: 60_000, targetMs: 4_000, chosen: "z-1" },
    { load: "uploads, long wait at home", own: { ...FULL, queued: 14 }, other: EMPTY, transferBytes: 60_000, targetMs: 4_000, chosen: "a-1" },
    { load: "uploads, late at home", own: { ...FULL, queued: 2 }, other: EMPTY, transferBytes: 60_000, targetMs: 1_500, chosen: "a-1" },
    { load: "uploads, late everywhere, as before", own: FULL, other: EMPTY, transferBytes: 60_000, targetMs: -10, chosen: "z-1" },
    { load: "uploads, own endpoint ejected", own: { ...EMPTY, grade: Grade.Ejected }, other: EMPTY, transferBytes: 60_000, targetMs: 4_000, chosen: "a-1" },
    { load: "uploads, slow at home", own: { ...EMPTY, serviceMs: 3_600 }, other: EMPTY, transferBytes: 60_000, targetMs: 4_000, chosen: "a-1" },
    { load: "uploads, somewhat slow", own: { ...EMPTY, serviceMs: 2_000 }, other: EMPTY, transferBytes: 60_000, targetMs: 4_000, chosen: "z-1" },
    { load: "pages of 24 kB, wait at home", own: { ...FULL, serviceMs: 500 }, other: EMPTY, transferBytes: 24_000, targetMs: 4_000, chosen: "z-1" },
    { load: "calls of few bytes, wait at home", own: SHORT_FULL, other: SHORT_EMPTY, transferBytes: 900, targetMs: 1_000, chosen: "a-1" },
    { load: "calls of few bytes, less busy elsewhere", own: { ...SHORT_EMPTY, running: 5 }, other: SHORT_EMPTY, transferBytes: 900, targetMs: 1_000, chosen: "a-1" },
];

// Guards against bodies that cross between failure domains while the own one has room, and against answers that are late for it.
CROSSING_CASES.forEach(({ load, own, other, transferBytes, targetMs, chosen }) => {
    test(`own failure domain or another: ${load}`, (t) => {
        const candidates = [candidate("a-1", other), candidate("z-1", own)];
        const [best] = rankGates(candidates, request(RequestKind.Repeatable, transferBytes, targetMs), "z", createRandom(3));
        t.is(best?.record.vm, chosen);
    });
});

// Guards against an idle endpoint to which the entries of all failure domains send large bodies by the same report: most bytes between domains.
test("an idle endpoint of another failure domain attracts requests of few bytes, and those with large bodies only if they are late at home", (t) => {
    const idle = candidate("a-1", { ...EMPTY, isIdle: true, trialWish: ProbeDemand.Any });
    const chosen = (transferBytes: number, targetMs: number): string | undefined =>
        rankGates([idle, candidate("z-1", EMPTY)], request(RequestKind.Once, transferBytes, targetMs), "z", createRandom(3))[0]?.record.vm;
    t.is(chosen(900, 4_000), "a-1");
    t.is(chosen(60_000, 4_000), "z-1");
    t.is(chosen(60_000, 1_000), "a-1");
});

// Guards against probes with large bodies from other failure domains, and against an endpoint that nobody probes in time.
test("an invited request with a large body probes an endpoint of another failure domain only once that has waited for 1.4 s", (t) => {
    const isCostly = (transferBytes: number, waitingMs: number | undefined): boolean | undefined => {
        const invited = candidate("a-1", { ...EMPTY, trialWish: ProbeDemand.Any }, { waitingMs });
        const ranked = rankGates([invited, candidate("z-1", EMPTY)], request(RequestKind.Once, transferBytes), "z", createRandom(3));
        return ranked.find(({ record }) => record.vm === "a-1")?.isCostlyToProbe;
    };
    t.true(isCostly(60_000, undefined));
    t.true(isCostly(60_000, 1_200));
    t.false(isCostly(60_000, 1_500));
    t.false(isCostly(900, 1_200));
    t.false(rankGates([candidate("z-1", EMPTY)], request(RequestKind.Once, 60_000), "z", createRandom(3))[0]?.isCostlyToProbe);
});

/** Order that the ranking by load alone gave for the same loads and seed. */
const AS_BEFORE = ["a-0", "z-2", "b-4", "b-1", "z-5", "a-3", "z-8", "a-6", "b-7"];

// Guards against slower answers in deployments of three failure domains with small responses, whose gates ranked by load alone.
test("the order of gates for a request of few bytes does not depend on its latency target", (t) => {
    const candidates = Array.from({ length: 9 }, (_, number) =>
        candidate(`${"abz"[number % 3] ?? ""}-${number}`, { running: number, queued: number % 4, slots: 5, isIdle: number === 0 }));
    [-100, 100, 4_000].forEach((targetMs) => {
        const ranked = rankGates(candidates, request(RequestKind.Repeatable, 2_048, targetMs), "z", createRandom(3));
        t.deepEqual(ranked.map(({ record }) => record.vm), AS_BEFORE);
        t.true(ranked.every((gate) => gate.preferredWaitMs === 0 && gate.acceptedWaitMs === 0 && gate.isCostlyToProbe === false));
    });
});

// Guards against long requests that are placed as if they were as short as the calls that their endpoints mostly run.
test("a long request goes to the faster endpoint, and one that runs for the usual time or less to the less busy one", (t) => {
    const candidates = [candidate("fast", { running: 4, serviceMs: 300 }), candidate("slow", { running: 1, serviceMs: 440 })];
    const chosen = (serviceRatio: number): string | undefined =>
        rankGates(candidates, { ...request(RequestKind.Repeatable), serviceRatio }, "z", createRandom(3))[0]?.record.vm;
    t.deepEqual([4, 0.3].map(chosen), ["fast", "slow"]);
});

// Guards against short calls that leave their failure domain because long requests would be late there.
test("a short call stays in its failure domain where it is in time, although the mean of the endpoint is longer than its target", (t) => {
    const candidates = [candidate("a-1", { serviceMs: 900 }), candidate("z-1", { serviceMs: 900, running: 3 })];
    const preferredWaitMs = (serviceRatio: number): number | undefined =>
        rankGates(candidates, { ...request(RequestKind.Once, 24_000, 1_000), serviceRatio }, "z", createRandom(3))
            .find(({ record }) => record.vm === "z-1")?.preferredWaitMs;
    t.is(preferredWaitMs(1), 0);
    t.is(preferredWaitMs(0.25), 525);
});

// Guards against requests that wait in their own failure domain while the slots elsewhere are needed for others.
test("the less of a service's slots are free, the shorter is the wait that is preferred to another domain", (t) => {
    const waitMs = (running: number): number | undefined => rankGates(
        [candidate("z-1", FULL), candidate("a-1", { ...EMPTY, running }), candidate("b-1", { ...EMPTY, running })],
        request(RequestKind.Once, 60_000, 8_000),
        "z",
        createRandom(3),
    ).find(({ record }) => record.vm === "z-1")?.preferredWaitMs;
    t.deepEqual([0, 2, 3, 5].map((running) => Math.round(waitMs(running) ?? -1)), [1_449, 1_449, 966, 0]);
});

// Guards against requests that wait in their own failure domain for longer than another one is worth avoiding.
test("a gate of the own failure domain states the wait that is preferred to another domain: at most the margin and the slack of the target", (t) => {
    const waits = (transferBytes: number, targetMs: number): readonly (number | undefined)[] =>
        rankGates([candidate("z-1", FULL), candidate("a-1", EMPTY)], request(RequestKind.Once, transferBytes, targetMs), "z", createRandom(3))
            .map(({ preferredWaitMs }) => preferredWaitMs);
    t.deepEqual(waits(60_000, 8_000), [1_449, 0]);
    t.deepEqual(waits(60_000, 2_000), [300, 0]);
    t.deepEqual(waits(900, 8_000), [0, 0]);
});

// Guards against a request that has been refused for want of a slot and is sent to the same domain again and again.
test("a gate that has refused the request does not keep it in its failure domain", (t) => {
    const candidates = [candidate("a-1", EMPTY), candidate("z-1", EMPTY, { hasRefused: true })];
    t.is(rankGates(candidates, request(RequestKind.Once, 60_000), "z", createRandom(3))[0]?.preferredWaitMs, 0);
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
            request(kind === RequestKind.Once ? rankedAs : kind),
            "z",
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

// Guards against more bytes between failure domains and more refusals where the configuration does not ask for placement by bytes.
test("without placement by bytes, a large body avoids other failure domains by a fixed penalty, whatever its target", (t) => {
    const inDomain = (placed: PlacementCandidate, failureDomain: string): PlacementCandidate =>
        ({ ...placed, record: { ...placed.record, failureDomain } });
    const gates = [inDomain(candidate("remote", { serviceMs: 100 }), "y"), inDomain(candidate("local", { serviceMs: 400 }), "z")];
    const best = (transferBytes: number): string | undefined => {
        const placed = { ...request(RequestKind.Once, transferBytes, 100), policy: PlacementPolicy.Soonest };
        return rankGates(gates, placed, "z", createRandom(3))[0]?.record.vm;
    };
    t.is(best(0), "remote");
    t.is(best(16 * 1_024), "local");
});
