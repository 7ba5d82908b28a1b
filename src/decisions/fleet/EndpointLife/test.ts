import test from "ava";
import { EndpointPhase } from "../EndpointPhase.js";
import { EndpointReport } from "../EndpointReport.js";
import { EndpointLife } from "./index.js";

const READY: EndpointReport = {
    id: "i-1",
    bornAtMs: 1_000,
    sequence: 4,
    service: "s",
    phase: EndpointPhase.Ready,
    slots: 5,
    coldRemainingMs: 0,
};

test("a late report of the same run changes nothing", (t) => {
    const life = EndpointLife.create();
    life.take(READY, 0);
    life.take({ ...READY, sequence: 6, phase: EndpointPhase.Draining }, 10);
    t.false(life.take({ ...READY, sequence: 5 }, 20));
    t.is(life.report?.phase, EndpointPhase.Draining);
});

test("a run that drains never becomes ready again", (t) => {
    const life = EndpointLife.create();
    life.take({ ...READY, phase: EndpointPhase.Draining }, 0);
    life.take({ ...READY, sequence: 9 }, 10);
    t.is(life.report?.phase, EndpointPhase.Draining);
});

test("a report of a dead run does not replace the run that followed it", (t) => {
    const life = EndpointLife.create();
    life.take({ ...READY, id: "i-2", bornAtMs: 5_000, sequence: 1 }, 0);
    t.false(life.take({ ...READY, sequence: 90, phase: EndpointPhase.Draining }, 100));
    t.is(life.report?.id, "i-2");
});

test("the same name with a later birth is a new run that counts anew", (t) => {
    const life = EndpointLife.create();
    life.take({ ...READY, sequence: 50, phase: EndpointPhase.Draining }, 0);
    t.true(life.take({ ...READY, bornAtMs: 9_000, sequence: 1 }, 100));
    t.is(life.report?.phase, EndpointPhase.Ready);
});

test("a run with an earlier birth counts once the later one has been silent for three heartbeats, as after a step of the clock", (t) => {
    const life = EndpointLife.create();
    life.take({ ...READY, id: "i-2", bornAtMs: 5_000 }, 0);
    t.false(life.take({ ...READY, id: "i-3", bornAtMs: 4_000 }, 3_000));
    t.true(life.take({ ...READY, id: "i-3", bornAtMs: 4_000 }, 6_000));
});

test("a late report does not bring back an endpoint that has left, also if it was not known before", (t) => {
    const life = EndpointLife.create();
    life.leave("i-1", 0, 2_000);
    t.false(life.take(READY, 10));
    t.true(life.take({ ...READY, bornAtMs: 3_000 }, 20));
});

test("a drain that an earlier run of the proxy had published binds the next one", (t) => {
    const life = EndpointLife.create();
    life.take(READY, 0);
    t.true(life.restore({ ...READY, phase: EndpointPhase.Draining }));
    life.take({ ...READY, sequence: 9 }, 10);
    t.is(life.report?.phase, EndpointPhase.Draining);
});

test("what an earlier run of the proxy published of another endpoint does not bind", (t) => {
    const life = EndpointLife.create();
    life.take(READY, 0);
    t.false(life.restore({ ...READY, id: "i-0", phase: EndpointPhase.Left }));
    t.is(life.report?.phase, EndpointPhase.Ready);
});
