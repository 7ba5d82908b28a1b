import test from "ava";
import { DispatchEffectKind } from "../src/decisions/dispatch/DispatchEffectKind.js";
import { PlayedCall, playFleet } from "./fixtures/playFleet.js";
import { PlayedRequest, playGate, PlaySource } from "./fixtures/playGate.js";

const SLOTS = 8;
const ORGANISATIONS = 20;
const DURATION_MS = 120_000;
const SEEDS = [1, 2, 3];
/** Kinds of requests of one service; 767 ms on average. */
const KINDS = [
    { priority: 0, share: 1 / 3, serviceMs: 400, targetMs: 1_500, timeoutMs: 4_000 },
    { priority: 1, share: 1 / 3, serviceMs: 700, targetMs: 2_000, timeoutMs: 5_000 },
    { priority: 2, share: 1 / 3, serviceMs: 1_200, targetMs: 2_500, timeoutMs: 6_000 },
];
const CAPACITY_PER_SECOND = SLOTS * 1_000 / (KINDS.reduce((sum, { share, serviceMs }) => sum + share * serviceMs, 0));

interface Load {
    readonly title: string;
    /** Offered load as a multiple of the capacity. */
    readonly load: number;
    /** Index of the organisation that sends 8 times its usual load; 0 is the largest one. */
    readonly surging: number;
    readonly organisationPriority: (index: number) => number;
}

const LOADS: readonly Load[] = [
    { title: "organisations of one priority, a middle one surges", load: 1.5, surging: 5, organisationPriority: () => 1 },
    { title: "organisations of one priority, the largest one surges", load: 1.5, surging: 0, organisationPriority: () => 1 },
    { title: "organisations of one priority, the smallest one surges", load: 1.5, surging: 19, organisationPriority: () => 1 },
    { title: "three priorities, a low one surges", load: 1.5, surging: 5, organisationPriority: (index) => index % 3 },
    { title: "three priorities, the largest one surges", load: 1.5, surging: 0, organisationPriority: (index) => index % 3 },
    { title: "the large organisations have the higher priority, a small one surges", load: 1.5, surging: 5, organisationPriority: (index) => index < 3 ? 0 : 1 },
    { title: "the small organisations have the lower priority, the largest one surges", load: 1.5, surging: 0, organisationPriority: (index) => index < 8 ? 0 : 1 },
    { title: "the large organisations have the lower priority, a small one surges", load: 1.5, surging: 5, organisationPriority: (index) => index < 3 ? 1 : 0 },
];

/** Sizes of the organisations are as 1, 1/2, 1/3 and so on. */
function createSources({ load, surging, organisationPriority }: Load): readonly PlaySource[] {
    const sizes = Array.from({ length: ORGANISATIONS }, (_value, index) => (index === surging ? 8 : 1) / (index + 1));
    const total = sizes.reduce((sum, size) => sum + size, 0);
    return sizes.flatMap((size, index) => KINDS.map(({ share, ...kind }): PlaySource => ({
        ...kind,
        organisation: `o-${index}`,
        organisationPriority: organisationPriority(index),
        ratePerSecond: () => load * CAPACITY_PER_SECOND * share * size / total,
    })));
}

function servedShare(played: readonly PlayedRequest[]): number {
    return played.filter(({ startedAtMs }) => startedAtMs !== undefined).length / played.length;
}

function groupBy<Key>(played: readonly PlayedRequest[], keyOf: (one: PlayedRequest) => Key): ReadonlyMap<Key, readonly PlayedRequest[]> {
    const groups = new Map<Key, PlayedRequest[]>();
    played.forEach((one) => groups.set(keyOf(one), [...groups.get(keyOf(one)) ?? [], one]));
    return groups;
}

const played = new Map<Load, readonly PlayedRequest[]>();

/** Plays a load with several seeds, once for all tests, and leaves out the requests that still wait at the end. */
function play(load: Load): readonly PlayedRequest[] {
    const result = played.get(load) ?? SEEDS.flatMap((seed) => playGate(SLOTS, createSources(load), DURATION_MS, seed))
        .filter(({ startedAtMs, refusedAtMs }) => startedAtMs !== undefined || refusedAtMs !== undefined);
    played.set(load, result);
    return result;
}

for (const load of LOADS) {
    test(`at 1.5 times the capacity of a gate no organisation is served less than 0.4 times as often as all: ${load.title}`, (t) => {
        const all = play(load);
        const mean = servedShare(all);
        groupBy(all, ({ source }) => source.organisation).forEach((own, organisation) => {
            t.true(servedShare(own) > 0.4 * mean, `${organisation}: ${servedShare(own)} of ${own.length}, all ${mean}`);
        });
    });

    test(`at 1.5 times the capacity of a gate urgent kinds are served at least as often as less urgent ones: ${load.title}`, (t) => {
        const shares = groupBy(play(load), ({ source }) => source.priority);
        const [urgent = 0, middle = 0, last = 0] = [0, 1, 2].map((priority) => servedShare(shares.get(priority) ?? []));
        t.true(urgent > middle - 0.05 && middle > last - 0.05 && urgent > last - 0.05, `${urgent}, ${middle}, ${last}`);
    });

    // Guards against requests that are held for most of their time and then refused, which costs their whole value.
    test(`at 1.5 times the capacity of a gate refusals come early: ${load.title}`, (t) => {
        const refused = play(load).filter(({ refusedAtMs }) => refusedAtMs !== undefined);
        const heldShare = (share: number): number =>
            refused.filter(({ source, arrivedAtMs, refusedAtMs = 0 }) => refusedAtMs - arrivedAtMs > share * source.targetMs).length / refused.length;
        t.true(heldShare(3 / 4) < 0.005, `${heldShare(3 / 4)} held for three quarters of the target`);
        t.true(heldShare(1 / 8) < 0.3, `${heldShare(1 / 8)} held for an eighth of the target`);
    });
}

// Load: one organisation sends 8 times its usual load for 10 s, from an idle start. Guards against a burst that takes all slots at first.
test("an organisation that surges for 10 s does not crowd out the others", (t) => {
    const base = createSources({ title: "", load: 0.9, surging: -1, organisationPriority: () => 1 });
    const surge = (source: PlaySource): PlaySource => ({
        ...source,
        ratePerSecond: (atMs: number) => source.ratePerSecond(atMs) * (atMs >= 60_000 && atMs < 70_000 ? 8 : 1),
    });
    const sources = base.map((source) => source.organisation === "o-1" ? surge(source) : source);
    const during = [1, 2, 3, 4, 5, 6].flatMap((seed) => playGate(SLOTS, sources, 80_000, seed))
        .filter(({ arrivedAtMs }) => arrivedAtMs >= 60_000 && arrivedAtMs < 70_000);
    const others = servedShare(during.filter(({ source }) => source.organisation !== "o-1"));
    const surging = servedShare(during.filter(({ source }) => source.organisation === "o-1"));
    t.true(others > 0.75, `${others}`);
    t.true(surging > 0.25 && surging < others, `${surging}`);
});

// Load: calls of running requests to an endpoint that organisations overload. Guards against work that is wasted as its calls are refused.
test("calls without an organisation are served when requests of organisations overload the endpoint", (t) => {
    const call: PlaySource = {
        organisation: "",
        organisationPriority: 0,
        priority: 1,
        serviceMs: 200,
        targetMs: 400,
        timeoutMs: 1_500,
        ratePerSecond: () => 0.3 * CAPACITY_PER_SECOND,
    };
    const [first] = LOADS;
    const sources = first === undefined ? [] : createSources(first);
    const all = playGate(SLOTS, [...sources, call], DURATION_MS, 1);
    const calls = all.filter(({ source }) => source === call);
    t.true(servedShare(calls) > 0.98, `${servedShare(calls)} of ${calls.length}`);
    t.true(servedShare(all) < 0.8);
});

// Load: requests of the highest priority alone ask for 1.5 times the capacity. Guards against strict priority, which starves the others.
test("lower priorities get a quarter of a gate that the highest priority would fill", (t) => {
    const source = (organisation: string, organisationPriority: number, load: number): PlaySource => ({
        organisation,
        organisationPriority,
        priority: 1,
        serviceMs: 800,
        targetMs: 2_000,
        timeoutMs: 5_000,
        ratePerSecond: () => load * SLOTS * 1_000 / 800,
    });
    const all = playGate(SLOTS, [source("high", 0, 1.5), source("middle", 1, 0.25), source("low", 2, 0.25)], DURATION_MS, 1);
    const [high = 0, middle = 0, low = 0] = ["high", "middle", "low"].map((name) =>
        servedShare(all.filter(({ source: { organisation } }) => organisation === name)));
    t.true(high > 0.45, `${high}`);
    t.true(middle > 0.35 && low > 0.35, `${middle}, ${low}`);
});

// Guards against a request that was told that it has not run, and runs.
test("a displaced request never starts", (t) => {
    const [, , , load] = LOADS;
    const all = load === undefined ? [] : play(load);
    t.true(all.some(({ refusedAtMs, arrivedAtMs }) => refusedAtMs !== undefined && refusedAtMs > arrivedAtMs));
    t.deepEqual(all.filter(({ startedAtMs, refusedAtMs }) => startedAtMs !== undefined && refusedAtMs !== undefined), []);
});

const GATES = 5;
const CALL: PlaySource = {
    organisation: "",
    organisationPriority: 0,
    priority: 1,
    serviceMs: 200,
    targetMs: 450,
    timeoutMs: 1_500,
    ratePerSecond: () => GATES * 0.3 * CAPACITY_PER_SECOND,
};

function playGates(load: Load, calls: readonly PlaySource[], hasOrganisations = true): readonly PlayedCall[] {
    const sources = createSources({ ...load, load: load.load * GATES });
    const all = playFleet({
        gates: GATES,
        slots: SLOTS,
        entries: 10,
        sources: [...sources, ...calls],
        durationMs: 60_000,
        seed: 1,
        maxReturns: 0,
        hasOrganisations,
    });
    return all.filter(({ outcome }) => outcome !== undefined);
}

function deliveredShare(calls: readonly PlayedCall[]): number {
    return calls.filter(({ outcome }) => outcome === DispatchEffectKind.Deliver).length / calls.length;
}

/** Share of the refused requests that were held for longer than a share of their latency target. */
function heldShare(calls: readonly PlayedCall[], share: number): number {
    const refused = calls.filter(({ outcome }) => outcome === DispatchEffectKind.Refuse);
    return refused.filter(({ source, arrivedAtMs, endedAtMs }) => endedAtMs - arrivedAtMs > share * source.targetMs).length / refused.length;
}

for (const load of LOADS) {
    // Guards against requests that are offered to one queue after the other and overtaken in each.
    test(`at 1.5 times the capacity of five gates no organisation starves and refusals come early: ${load.title}`, (t) => {
        const all = playGates(load, []);
        const mean = deliveredShare(all);
        const organisations = new Set(all.map(({ source }) => source.organisation));
        organisations.forEach((organisation) => {
            const own = deliveredShare(all.filter(({ source }) => source.organisation === organisation));
            t.true(own > 0.25 * mean, `${organisation}: ${own}, all ${mean}`);
        });
        t.true(heldShare(all, 1 / 8) < 0.25, `${heldShare(all, 1 / 8)} held for an eighth of the target`);
        t.true(heldShare(all, 1 / 2) < 0.03, `${heldShare(all, 1 / 2)} held for half of the target`);
        t.true(heldShare(all, 3 / 4) < 0.005, `${heldShare(all, 3 / 4)} held for three quarters of the target`);
        t.false(all.some(({ outcome }) => outcome === DispatchEffectKind.Fail));
    });
}

test("calls of running requests are served by five gates that organisations overload", (t) => {
    const [, , , load] = LOADS;
    const all = load === undefined ? [] : playGates(load, [CALL]);
    const calls = all.filter(({ source }) => source === CALL);
    t.true(deliveredShare(calls) > 0.99, `${deliveredShare(calls)} of ${calls.length}`);
    t.true(deliveredShare(all) < 0.85);
});

// Guards against callers that return at once to full queues, and together.
test("refused callers are told to return when the queues have been served, and at different times", (t) => {
    const [, , , load] = LOADS;
    const refused = (load === undefined ? [] : playGates(load, [])).filter(({ outcome }) => outcome === DispatchEffectKind.Refuse);
    const times = refused.map(({ retryAfterMs }) => retryAfterMs).sort((left, right) => left - right);
    const median = times[Math.floor(times.length / 2)] ?? 0;
    t.true(median > 500 && median < 2_500, `${median}`);
    t.true(new Set(times).size > times.length / 3, `${new Set(times).size} of ${times.length}`);
});

// Guards against requests that are refused although there is room: below the capacity the turns must cost next to nothing.
test("at 0.9 times the capacity of five gates nearly all requests are served", (t) => {
    LOADS.forEach((load) => {
        const share = deliveredShare(playGates({ ...load, load: 0.9 }, []));
        t.true(share > 0.97, `${load.title}: ${share}`);
    });
});
