import { install } from "@sinonjs/fake-timers";
import test from "ava";
import { createLoadReport } from "../../../test/fixtures/createLoadReport.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { ProbeDemand } from "../../decisions/outliers/ProbeDemand.js";
import { LoadReporter } from "./index.js";

const LOAD = createLoadReport("vm-1");

test.serial("small changes wait for the next regular report, larger ones are reported soon, and changes of grade immediately", (t) => {
    const clock = install();
    let load = LOAD;
    const sent: GateLoadReport[] = [];
    const reporter = LoadReporter.create(() => load, (report) => sent.push(report), () => 33);
    t.teardown(() => {
        reporter.close();
        clock.uninstall();
    });
    reporter.handleLoadChange(false);
    clock.tick(200);
    t.is(sent.length, 1);
    load = { ...LOAD, running: 1 };
    reporter.handleLoadChange(false);
    clock.tick(300);
    t.is(sent.length, 1);
    load = { ...LOAD, running: 5 };
    reporter.handleLoadChange(false);
    clock.tick(200);
    t.is(sent.at(-1)?.running, 5);
    load = { ...load, grade: Grade.Doubted };
    reporter.handleLoadChange(true);
    t.is(sent.at(-1)?.grade, Grade.Doubted);
});

test.serial("an untrusted endpoint is reported as due for a probe request, even if nothing else happens", (t) => {
    const clock = install();
    let load = { ...LOAD, grade: Grade.Ejected };
    const sent: GateLoadReport[] = [];
    const reporter = LoadReporter.create(() => load, (report) => sent.push(report), () => 33);
    t.teardown(() => {
        reporter.close();
        clock.uninstall();
    });
    reporter.handleLoadChange(true);
    load = { ...load, trialWish: ProbeDemand.Repeatable };
    clock.tick(250);
    t.is(sent.at(-1)?.trialWish, ProbeDemand.Repeatable);
    const count = sent.length;
    reporter.close();
    clock.tick(5_000);
    t.is(sent.length, count);
});
