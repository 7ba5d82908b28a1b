import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { RouteTimes } from "./index.js";

const CASES = [
    { load: "calls of 0.2 s beside requests of 1 s, mean 0.6 s", runMs: 200, meanMs: 600, ratio: 0.33 },
    { load: "requests of 1 s beside calls of 0.2 s, mean 0.6 s", runMs: 1_000, meanMs: 600, ratio: 1.67 },
    { load: "requests of one kind only", runMs: 500, meanMs: 500, ratio: 1 },
    { load: "calls of 0.2 s that a round trip of 18 ms makes longer", runMs: 218, meanMs: 200, ratio: 1 },
];

// Guards against short calls that are placed and refused by the time of long requests, and the other way round.
CASES.forEach(({ load, runMs, meanMs, ratio }) => {
    test(`proportion of ${load}`, (t) => {
        const random = createRandom(3);
        const times = RouteTimes.create();
        for (let request = 0; request < 60; request += 1) {
            const slowness = 1 + 2 * random();
            times.recordRequest("route", slowness * runMs * (0.7 + 0.6 * random()), slowness * meanMs);
        }
        t.true(Math.abs(times.ratioOf("route") - ratio) < 0.15 * ratio, `${times.ratioOf("route")}`);
    });
});

// Guards against a route that is avoided because its first request met a pause.
test("an unknown route counts as usual, and a single odd request changes little", (t) => {
    const times = RouteTimes.create();
    t.is(times.ratioOf("route"), 1);
    times.recordRequest("route", 900, 500);
    t.true(times.ratioOf("route") < 1.3);
    times.recordRequest("odd", 900_000, 0);
    t.true(times.ratioOf("odd") < 8);
});

// Guards against a table that grows with each change of the configuration.
test("the times of at most 512 routes are kept, those seen last", (t) => {
    const times = RouteTimes.create();
    for (let route = 0; route < 600; route += 1) {
        times.recordRequest(`route-${route}`, 100, 1_000);
    }
    t.is(times.count, 512);
    t.is(times.ratioOf("route-0"), 1);
    t.true(times.ratioOf("route-599") < 0.8);
});
