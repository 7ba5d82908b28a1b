import test from "ava";
import fc from "fast-check";
import { HEAVY_FAULTS } from "../bench/soak/heavyFaults.js";
import { SoakWorld } from "../bench/soak/SoakWorld/index.js";

const STEPS = 5_000;
const RUNS = 25;
const FAST_CHECK_SEED = 20_261_204;

test("no seed of a fleet under faults repeats unsafe work, lies about it or crosses answers", (t) => {
    fc.assert(
        fc.property(fc.integer(), (seed) => {
            const report = SoakWorld.run(seed, STEPS, HEAVY_FAULTS);
            return report.violations.length === 0 && report.requests > 0;
        }),
        { seed: FAST_CHECK_SEED, numRuns: RUNS, endOnFailure: true },
    );
    t.pass();
});
