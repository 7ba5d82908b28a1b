import test from "ava";
import { Grade } from "../../fleet/Grade.js";
import { ProbeDemand } from "../ProbeDemand.js";
import { ProbeScheduler } from "./index.js";

/** Time within which a healthy endpoint must get a request, in ms. */
const STARVATION_LIMIT_MS = 2_000;

test("a trusted endpoint that had a request recently accepts no probes, and a doubted one does while it runs few requests", (t) => {
    const scheduler = ProbeScheduler.create();
    scheduler.recordRequest(Grade.Trusted, 0);
    t.is(scheduler.chooseDemand(Grade.Trusted, 0, 100), ProbeDemand.None);
    t.is(scheduler.chooseDemand(Grade.Doubted, 0, 100), ProbeDemand.Repeatable);
    t.is(scheduler.chooseDemand(Grade.Doubted, 2, 100), ProbeDemand.None);
});

test("an ejected endpoint is probed at least twice within the starvation limit", (t) => {
    const scheduler = ProbeScheduler.create();
    let probes = 0;
    for (let atMs = 0; atMs < STARVATION_LIMIT_MS; atMs += 10) {
        if (scheduler.chooseDemand(Grade.Ejected, 0, atMs) !== ProbeDemand.None) {
            probes += 1;
            scheduler.recordRequest(Grade.Ejected, atMs);
        }
    }
    t.true(probes >= 2 && probes <= 3, `${probes} probes`);
});

test("an idle endpoint accepts any request as a probe within the starvation limit", (t) => {
    const scheduler = ProbeScheduler.create();
    scheduler.recordRequest(Grade.Trusted, 0);
    t.is(scheduler.chooseDemand(Grade.Ejected, 0, 1_000), ProbeDemand.Repeatable);
    t.is(scheduler.chooseDemand(Grade.Ejected, 0, STARVATION_LIMIT_MS * 0.75), ProbeDemand.Any);
});
