import test from "ava";
import fc from "fast-check";
import { QuorumWorld } from "../bench/quorum/QuorumWorld/index.js";

const STEPS = 5_000;
const RUNS = 20;
const FAST_CHECK_SEED = 20_261_204;

for (const size of [3, 5]) {
    test(`no seed of ${size} control VMs under faults elects two leaders in a term or changes a committed entry`, (t) => {
        fc.assert(
            fc.property(fc.integer(), (seed) => QuorumWorld.run(seed, size, STEPS).violations.length === 0),
            { seed: FAST_CHECK_SEED, numRuns: RUNS, endOnFailure: true },
        );
        t.pass();
    });
}
