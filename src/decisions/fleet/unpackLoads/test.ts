import fc from "fast-check";
import test from "ava";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { GateLoadReport } from "../GateLoadReport.js";
import { gateNumber } from "../gateNumber/index.js";
import { Grade } from "../Grade.js";
import { packLoads } from "../packLoads/index.js";
import { unpackLoads } from "./index.js";

const tenths = (max: number): fc.Arbitrary<number> => fc.integer({ min: 0, max: max * 10 }).map((value) => value / 10);
const load: fc.Arbitrary<GateLoadReport> = fc.record({
    vm: fc.constantFrom("vm-1", "vm-2", "vm-3"),
    running: fc.nat(255),
    queued: fc.nat(255),
    slots: fc.nat(255),
    serviceMs: fc.option(fc.nat(65_534), { nil: undefined }),
    grade: fc.constantFrom(Grade.Trusted, Grade.Doubted, Grade.Ejected),
    suspicion: tenths(25),
    trialWish: fc.constantFrom(TrialWish.None, TrialWish.Repeatable, TrialWish.Any),
    shedShare: tenths(1),
    isIdle: fc.boolean(),
});
const names = new Map(["vm-1", "vm-2", "vm-3"].map((vm) => [gateNumber(vm), vm]));

test("what was packed is read back", (t) => {
    fc.assert(fc.property(fc.array(load), (loads) => {
        t.deepEqual(unpackLoads(packLoads(loads), (gate) => names.get(gate)), loads);
    }), { seed: 1 });
});

test("any bytes are read without an error, and gates that are not known are passed over", (t) => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 100 }), (bytes) => {
        t.true(unpackLoads(bytes, () => "vm-1").length <= bytes.length / 12);
        t.deepEqual(unpackLoads(bytes, () => undefined), []);
    }), { seed: 1 });
});
