import test from "ava";
import fc from "fast-check";
import { QuorumWorld } from "../bench/quorum/QuorumWorld/index.js";

const STEPS_PER_RUN = 5_000;
const RUN_COUNT = 20;
const FAST_CHECK_SEED = 20_261_204;

for (const size of [3, 5]) {
    test(`${size} simulated control VMs under faults never elect two leaders in one term or change a committed entry`, (t) => {
        fc.assert(
            fc.property(fc.integer(), (seed) => QuorumWorld.run(seed, size, STEPS_PER_RUN).violations.length === 0),
            { seed: FAST_CHECK_SEED, numRuns: RUN_COUNT, endOnFailure: true },
        );
        t.pass();
    });
}
