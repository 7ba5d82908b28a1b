import test from "ava";
import { EndpointPhase } from "../EndpointPhase.js";
import { EndpointReport } from "../EndpointReport.js";
import { findReportProblem } from "./index.js";

const TIME_OF_DAY_MS = 1_800_000_000_000;
const REPORT: EndpointReport = {
    id: "i-1",
    bornAtMs: TIME_OF_DAY_MS,
    sequence: 4,
    service: "s",
    phase: EndpointPhase.Ready,
    slots: 5,
    coldRemainingMs: 0,
};

test("a report of an endpoint that has just started, by a clock that is some seconds ahead, has no problem", (t) => {
    t.is(findReportProblem({ ...REPORT, bornAtMs: TIME_OF_DAY_MS + 10_000, coldRemainingMs: 30_000 }, TIME_OF_DAY_MS), undefined);
});

// Guards against reports of other writers that nothing later can replace, and against names that would split a request.
const IMPOSSIBLE: Record<string, Partial<EndpointReport>> = {
    "a start time that no later start exceeds": { bornAtMs: Number.MAX_SAFE_INTEGER },
    "a sequence number that no later one exceeds": { sequence: Number.MAX_SAFE_INTEGER },
    "more slots than an address has connections": { slots: Number.MAX_SAFE_INTEGER },
    "an endless cold start": { coldRemainingMs: Number.POSITIVE_INFINITY },
    "a line break in the id": { id: "i-1\r\nCaller-Service: other" },
    "a line break in the service": { service: "s\r\nX: 1" },
    "an empty id": { id: "" },
    "an endless id": { id: "i".repeat(100_000) },
};

Object.entries(IMPOSSIBLE).forEach(([description, override]) => {
    test(`a report with ${description} has a problem`, (t) => {
        t.is(typeof findReportProblem({ ...REPORT, ...override }, TIME_OF_DAY_MS), "string");
    });
});
