import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { ConcurrencyLimit } from "./index.js";

const SLOTS = 8;
const STEP_MS = 10;
const MS_PER_S = 1_000;

interface Endpoint {
    /** Factor on the usual time of a request by the number that runs when it starts, its own included. */
    readonly slowness: (running: number, nowMs: number) => number;
    /** Number of running requests from which arrivals are shed. */
    readonly shedsFrom?: number;
}

interface Played {
    /** Limit at the end of each second. */
    readonly limits: readonly number[];
    readonly served: number;
    readonly shed: number;
}

/** Plays an endpoint with a backlog that swings, so that it runs between two requests and as many as the limit allows. */
function play({ slowness, shedsFrom = Number.POSITIVE_INFINITY }: Endpoint, isLimited: boolean, runMs = 120_000, usualMs = 600): Played {
    const random = createRandom(4);
    const limit = ConcurrencyLimit.create();
    let running: { readonly endsAtMs: number; readonly busyShare: number; readonly slowness: number }[] = [];
    const limits: number[] = [];
    let served = 0;
    let shed = 0;
    for (let nowMs = 0; nowMs < runMs; nowMs += STEP_MS) {
        running.filter(({ endsAtMs }) => endsAtMs <= nowMs).forEach((request) => {
            limit.recordAnswer(request.busyShare, request.slowness, nowMs);
            served += 1;
        });
        running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
        const allowed = isLimited ? limit.limit(SLOTS, nowMs) : SLOTS;
        const wanted = 5 + 4 * Math.sin(2 * Math.PI * nowMs / 13_000) + 2;
        if (running.length < Math.min(allowed, wanted) && random() < 0.6) {
            const busyShare = (running.length + 1) / SLOTS;
            if (running.length + 1 >= shedsFrom) {
                shed += 1;
                limit.recordShed(busyShare, nowMs);
            }
            else {
                const factor = slowness(running.length + 1, nowMs) * (0.7 + 0.6 * random());
                running.push({ endsAtMs: nowMs + factor * usualMs, busyShare, slowness: factor });
            }
        }
        if (nowMs % MS_PER_S === 0) {
            limits.push(allowed);
        }
    }
    return { limits, served, shed };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

// Guards against endpoints that lose slots by chance: requests that differ, or a whole fleet that is slow for a time.
test("an endpoint that is as fast with all slots busy keeps them, also if its whole service is slow for some time", (t) => {
    t.true(Math.min(...play({ slowness: () => 1 }, true, 600_000).limits) === SLOTS);
    const slowAtTimes = (_running: number, nowMs: number): number => nowMs % 60_000 < 20_000 ? 2 : 1;
    const { limits } = play({ slowness: slowAtTimes }, true, 300_000);
    t.true(mean(limits) > 7.5, `${mean(limits)}`);
});

test("an endpoint whose requests slow down in proportion keeps all slots: fewer at a time would not be answered sooner", (t) => {
    const { limits } = play({ slowness: (running) => Math.max(1, running / 5) }, true);
    t.true(mean(limits) > 7.5, `${mean(limits)}`);
});

const CASES = [
    { load: "three times as slow above three quarters of its slots", slowness: (running: number) => running > 6 ? 3 : 1, limit: 6 },
    { load: "much slower with each request above half of its slots", slowness: (running: number) => Math.max(1, (running / 4) ** 2.5), limit: 4 },
    { load: "that sheds with more than 6 of 8 slots busy", slowness: () => 1, shedsFrom: 7, limit: 6 },
];

// Guards against endpoints that answer fewer requests because they get more of them at a time.
CASES.forEach(({ load, limit, ...endpoint }) => {
    test(`limit of an endpoint ${load}`, (t) => {
        const { limits, served, shed } = play(endpoint, true);
        const unlimited = play(endpoint, false);
        t.log({ meanLimit: mean(limits.slice(30)), served, shed, unlimited: unlimited.served, unlimitedShed: unlimited.shed });
        t.true(Math.min(...limits) >= SLOTS / 2);
        t.true(Math.abs(mean(limits.slice(30)) - limit) < 1, `${mean(limits.slice(30))}`);
        t.true(served > 1.3 * unlimited.served || shed < 0.3 * unlimited.shed, `${served} and ${unlimited.served} without a limit`);
        t.true(served > 0.99 * unlimited.served, `${served} and ${unlimited.served} without a limit`);
    });
});

test("all slots are used again within a minute after the endpoint has become as fast with all of them", (t) => {
    const { limits } = play({ slowness: (running, nowMs) => nowMs < 60_000 && running > 6 ? 3 : 1 }, true, 180_000);
    t.true(mean(limits.slice(30, 60)) < 7);
    t.is(Math.min(...limits.slice(120)), SLOTS);
});

test("an endpoint with one slot keeps it, and unknown endpoints have all slots", (t) => {
    const limit = ConcurrencyLimit.create();
    t.is(limit.limit(1, 0), 1);
    t.is(limit.limit(20, 0), 20);
    limit.recordAnswer(Number.NaN, Number.NaN, 0);
    limit.recordAnswer(3, Number.POSITIVE_INFINITY, 0);
    t.is(limit.limit(20, 0), 20);
});
