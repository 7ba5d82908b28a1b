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

// Guards against a proxy that takes its own pause for the silence of its endpoint, and the first late report that it reads for the endpoint's.
test("a run with an earlier start time is not accepted after a pause of the proxy, in which the current run could not report", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, id: "i-2", bornAtMs: 5_000 }, 0);
    t.false(tracker.applyReport({ ...READY, id: "i-3", bornAtMs: 4_000 }, 6_000, 5_900));
    t.is(tracker.report?.id, "i-2");
    t.true(tracker.applyReport({ ...READY, id: "i-3", bornAtMs: 4_000 }, 10_500, 5_900));
});

test("after a pause of the proxy, the next report replaces a run that the endpoint has denied to be", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, id: "i-2", bornAtMs: 5_000 }, 0);
    tracker.applyPresence({ id: "i-2", bornAtMs: 5_000 }, false, 10);
    t.true(tracker.applyReport({ ...READY, id: "i-3", bornAtMs: 4_000 }, 6_000, 5_900));
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

const FOREIGN: EndpointReport = { ...READY, id: "i-9", bornAtMs: 90_000, sequence: 1 };

// Guards against the report of another writer that keeps the true endpoint out of service for seconds.
test("a displaced run is current again as soon as the endpoint denies to be the one that displaced it", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    t.true(tracker.applyReport(FOREIGN, 100));
    t.true(tracker.applyPresence(FOREIGN, false, 200));
    t.deepEqual(tracker.report, READY);
    t.false(tracker.applyReport({ ...FOREIGN, sequence: 2 }, 300));
    t.deepEqual(tracker.report, READY);
});

test("two runs that displaced the true one in turn are both denied", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport(FOREIGN, 100);
    tracker.applyReport({ ...FOREIGN, id: "i-10", bornAtMs: 95_000 }, 150);
    t.true(tracker.applyPresence({ id: "i-10", bornAtMs: 95_000 }, false, 200));
    t.true(tracker.applyPresence(FOREIGN, false, 250));
    t.deepEqual(tracker.report, READY);
});

test("a displaced run is current again if it goes on reporting while the other one does not", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport(FOREIGN, 100);
    t.false(tracker.applyReport({ ...READY, sequence: 5 }, 1_500));
    t.true(tracker.applyReport({ ...READY, sequence: 6 }, 3_000));
    t.is(tracker.report?.id, "i-1");
});

test("late reports of a run that ended do not displace its successor", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport(FOREIGN, 100);
    t.false(tracker.applyReport({ ...READY, sequence: 5 }, 150));
    t.false(tracker.applyReport({ ...READY, sequence: 6 }, 160));
    tracker.applyReport({ ...FOREIGN, sequence: 2 }, 1_600);
    t.false(tracker.applyReport({ ...READY, sequence: 7 }, 1_700));
    t.is(tracker.report?.id, "i-9");
});

test("a successor that has answered a request stays, whatever its predecessor still reports", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport(FOREIGN, 100);
    t.false(tracker.applyPresence(FOREIGN, true, 150));
    t.false(tracker.applyReport({ ...READY, sequence: 5 }, 1_500));
    t.false(tracker.applyReport({ ...READY, sequence: 6 }, 3_000));
    t.is(tracker.report?.id, "i-9");
});

test("a drain that a displaced run reports still binds when it is current again", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport(FOREIGN, 100);
    t.false(tracker.applyReport({ ...READY, sequence: 5, phase: EndpointPhase.Draining }, 150));
    t.true(tracker.applyPresence(FOREIGN, false, 200));
    t.is(tracker.report?.phase, EndpointPhase.Draining);
});

test("an endpoint that has left while it was displaced does not come back", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport(FOREIGN, 100);
    tracker.applyDeparture("i-1", 150, 5_000);
    t.false(tracker.applyPresence(FOREIGN, false, 200));
    t.is(tracker.report?.id, "i-9");
});

test("a run that the endpoint denies to be, and that displaced none, gives way to whatever reports next", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(FOREIGN, 0);
    t.false(tracker.applyPresence(FOREIGN, false, 100));
    t.true(tracker.applyReport(READY, 200));
    t.is(tracker.report?.id, "i-1");
});

test("a denial that concerns an earlier run changes nothing", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport(READY, 0);
    tracker.applyReport(FOREIGN, 100);
    t.false(tracker.applyPresence(READY, false, 200));
    t.is(tracker.report?.id, "i-9");
});

// Guards against an acknowledged drain without effect, after a report with a sequence number that no later one exceeds.
test("a drain is applied although a report with a higher sequence number came before", (t) => {
    const tracker = EndpointTracker.create();
    tracker.applyReport({ ...READY, sequence: 4_000_000_000 }, 0);
    t.true(tracker.applyReport({ ...READY, sequence: 5, phase: EndpointPhase.Draining }, 100));
    t.is(tracker.report?.phase, EndpointPhase.Draining);
});

// Guards against departures without end, each under an id of its own, of which none was ever forgotten.
test("the remembered departures are bounded; the latest ones still hold", (t) => {
    const tracker = EndpointTracker.create();
    for (let index = 0; index < 1_000; index += 1) {
        tracker.applyDeparture(`i-${index}`, index, 2_000);
    }
    tracker.applyDeparture("i".repeat(10_000), 1_000, 2_000);
    t.is(tracker.departureCount, 256);
    t.false(tracker.applyReport({ ...READY, id: "i-999" }, 1_000));
    t.false(tracker.applyReport({ ...READY, id: "i-800" }, 1_000));
    t.true(tracker.applyReport({ ...READY, id: "i-1000" }, 1_000));
});
