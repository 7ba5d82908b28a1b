import test from "ava";
import { createLoadReport } from "../../../../test/fixtures/createLoadReport.js";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { GateLoadReport } from "../GateLoadReport.js";
import { Grade } from "../Grade.js";
import { isLoadNews } from "./index.js";

const LOAD = createLoadReport("vm-1", { running: 2 });

test("the first load is news, and the same one again is not", (t) => {
    t.true(isLoadNews(undefined, LOAD));
    t.false(isLoadNews(LOAD, LOAD));
});

test("one request more or less is no news, unless it fills the endpoint or frees a slot", (t) => {
    t.false(isLoadNews(LOAD, { ...LOAD, running: 3 }));
    t.true(isLoadNews(LOAD, { ...LOAD, running: 4 }));
    t.true(isLoadNews({ ...LOAD, running: 4 }, { ...LOAD, running: 5 }));
    t.true(isLoadNews({ ...LOAD, running: 5 }, { ...LOAD, running: 4 }));
});

test("each change of trust is news", (t) => {
    const changes: Partial<GateLoadReport>[] = [
        { grade: Grade.Doubted },
        { trialWish: TrialWish.Any },
        { isIdle: true },
        { shedShare: 0.3 },
        { slots: 4 },
    ];
    t.true(changes.every((change) => isLoadNews(LOAD, { ...LOAD, ...change })));
});
