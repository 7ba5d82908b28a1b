import fc from "fast-check";
import test from "ava";
import { createLoadReport } from "../../../../test/fixtures/createLoadReport.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { gateHash } from "../gateHash/index.js";
import { GateLoadReport } from "../GateLoadReport.js";
import { Grade } from "../Grade.js";
import { packLoads } from "../packLoads/index.js";
import { unpackLoads } from "./index.js";

const tenths = (max: number): fc.Arbitrary<number> => fc.integer({ min: 0, max: max * 10 }).map((value) => value / 10);
const load: fc.Arbitrary<GateLoadReport> = fc.record({
    vm: fc.constantFrom("vm-1", "vm-2", "vm-3"),
    running: fc.nat(255),
    queued: fc.nat(255),
    slots: fc.nat(255),
    limitWaitMs: fc.constantFrom(undefined, 200, 400, 1_400),
    serviceMs: fc.option(fc.nat(65_534), { nil: undefined }),
    grade: fc.constantFrom(Grade.Trusted, Grade.Doubted, Grade.Ejected),
    suspicion: tenths(25),
    trialWish: fc.constantFrom(ProbeDemand.None, ProbeDemand.Repeatable, ProbeDemand.Any),
    shedShare: tenths(1),
    isIdle: fc.boolean(),
});
const vmsByHash = new Map(["vm-1", "vm-2", "vm-3"].map((vm) => [gateHash(vm), vm]));

test("unpacking returns the loads that were packed", (t) => {
    fc.assert(fc.property(fc.array(load), (loads) => {
        t.deepEqual(unpackLoads(packLoads(loads), (hash) => vmsByHash.get(hash)), loads);
    }), { seed: 1 });
});

test("any bytes are unpacked without an error, and unknown gates are skipped", (t) => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 100 }), (bytes) => {
        t.true(unpackLoads(bytes, () => "vm-1").length <= bytes.length / 12);
        t.deepEqual(unpackLoads(bytes, () => undefined), []);
    }), { seed: 1 });
});

// Guards against a process that runs out of memory because a message of some megabytes repeats the load of one gate.
test("of many more loads than a fleet has, only the first ones are unpacked", (t) => {
    const packed = Buffer.alloc(12_000_000, packLoads([createLoadReport("vm-1")]));
    t.is(unpackLoads(packed, (hash) => vmsByHash.get(hash)).length, 8_192);
});
