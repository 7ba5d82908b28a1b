import test from "ava";
import fc from "fast-check";
import { HEAVY_FAULTS } from "../bench/soak/heavyFaults.js";
import { SoakWorld } from "../bench/soak/SoakWorld/index.js";

const STEPS_PER_RUN = 5_000;
const RUN_COUNT = 25;
const FAST_CHECK_SEED = 20_261_204;

test("a simulated fleet under faults never repeats unsafe work, reports a wrong outcome or mixes up responses", (t) => {
    fc.assert(
        fc.property(fc.integer(), (seed) => {
            const report = SoakWorld.run(seed, STEPS_PER_RUN, HEAVY_FAULTS);
            return report.violations.length === 0 && report.requests > 0;
        }),
        { seed: FAST_CHECK_SEED, numRuns: RUN_COUNT, endOnFailure: true },
    );
    t.pass();
});
