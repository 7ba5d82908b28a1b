import test from "ava";
import { EndpointPhase } from "../EndpointPhase.js";
import { EndpointReport } from "../EndpointReport.js";
import { EndpointTracker } from "./index.js";

const READY: EndpointReport = {
    id: "i-1",
    bornAtMs: 1_000,
    sequence: 4,
    service: "s",
    phase: EndpointPhase.Ready,
    slots: 5,
    coldRemainingMs: 0,
};

test("a report of the same run that arrives out of order is ignored", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport({ ...READY, sequence: 6, phase: EndpointPhase.Draining }, 10);
    t.false(tracker.applyReport({ ...READY, sequence: 5 }, 20));
    t.is(tracker.report?.phase, EndpointPhase.Draining);
});

test("a draining run never becomes ready again", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, phase: EndpointPhase.Draining }, 0);
    tracker.applyReport({ ...READY, sequence: 9 }, 10);
    t.is(tracker.report?.phase, EndpointPhase.Draining);
});

test("a report of an earlier run does not replace the current run", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, id: "i-2", bornAtMs: 5_000, sequence: 1 }, 0);
    t.false(tracker.applyReport({ ...READY, sequence: 90, phase: EndpointPhase.Draining }, 100));
    t.is(tracker.report?.id, "i-2");
});

test("the same id with a later start time is a new run with its own sequence numbers", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, sequence: 50, phase: EndpointPhase.Draining }, 0);
    t.true(tracker.applyReport({ ...READY, bornAtMs: 9_000, sequence: 1 }, 100));
    t.is(tracker.report?.phase, EndpointPhase.Ready);
});

test("a run with an earlier start time is accepted once the current run has been silent for three heartbeats, as after a clock step", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, id: "i-2", bornAtMs: 5_000 }, 0);
    t.false(tracker.applyReport({ ...READY, id: "i-3", bornAtMs: 4_000 }, 3_000));
    t.true(tracker.applyReport({ ...READY, id: "i-3", bornAtMs: 4_000 }, 6_000));
});

test("a late report does not bring back an endpoint that has left, even if it was not known before", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyDeparture("i-1", 0, 2_000);
    t.false(tracker.applyReport(READY, 10));
    t.true(tracker.applyReport({ ...READY, bornAtMs: 3_000 }, 20));
});

test("a drain that an earlier run of the proxy published stays in effect", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    t.true(tracker.restore({ ...READY, phase: EndpointPhase.Draining }));
    tracker.applyReport({ ...READY, sequence: 9 }, 10);
    t.is(tracker.report?.phase, EndpointPhase.Draining);
});

test("a report that an earlier run of the proxy published of another endpoint is ignored", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    t.false(tracker.restore({ ...READY, id: "i-0", phase: EndpointPhase.Left }));
    t.is(tracker.report?.phase, EndpointPhase.Ready);
});

test("an endpoint that has stated in a response that it leaves drains, although later heartbeats still say ready", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    t.true(tracker.applyLeaving(READY));
    t.false(tracker.applyLeaving(READY));
    tracker.applyReport({ ...READY, sequence: 9 }, 10);
    t.is(tracker.report?.phase, EndpointPhase.Draining);
});

test("a late response of an earlier run does not make the current one drain", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, bornAtMs: 2 }, 0);
    t.false(tracker.applyLeaving({ ...READY, bornAtMs: 1 }));
    t.is(tracker.report?.phase, EndpointPhase.Ready);
});
