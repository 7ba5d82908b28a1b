import test from "ava";
import { createLoadReport } from "../../../../test/fixtures/createLoadReport.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { GateLoadReport } from "../GateLoadReport.js";
import { Grade } from "../Grade.js";
import { isSignificantLoadChange } from "./index.js";

const LOAD = createLoadReport("vm-1", { running: 2 });

test("the first load is significant, and an equal one after it is not", (t) => {
    t.true(isSignificantLoadChange(undefined, LOAD));
    t.false(isSignificantLoadChange(LOAD, LOAD));
});

test("a change by one request is significant only if it takes the last free slot or frees one", (t) => {
    t.false(isSignificantLoadChange(LOAD, { ...LOAD, running: 3 }));
    t.true(isSignificantLoadChange(LOAD, { ...LOAD, running: 4 }));
    t.true(isSignificantLoadChange({ ...LOAD, running: 4 }, { ...LOAD, running: 5 }));
    t.true(isSignificantLoadChange({ ...LOAD, running: 5 }, { ...LOAD, running: 4 }));
});

test("each change of the grade, of the probe demand, of idleness, of the shed share or of the slots is significant", (t) => {
    const changes: Partial<GateLoadReport>[] = [
        { grade: Grade.Doubted },
        { trialWish: ProbeDemand.Any },
        { isIdle: true },
        { shedShare: 0.3 },
        { slots: 4 },
    ];
    t.true(changes.every((change) => isSignificantLoadChange(LOAD, { ...LOAD, ...change })));
});
