import test from "ava";
import { CallerKind } from "../CallerKind.js";
import { chooseMaxQueueMs } from "./index.js";

const SERVICE_MS = 300;
const TIMES = { targetAtMs: 1_500, deadlineAtMs: 4_000 };

test("a request may wait as long as it meets its latency target, or for the next slot if it is late", (t) => {
    for (const callerKind of [CallerKind.Unknown, CallerKind.Organisation]) {
        t.is(chooseMaxQueueMs({ ...TIMES, callerKind }, 0, SERVICE_MS), 1_200);
        t.is(chooseMaxQueueMs({ ...TIMES, callerKind }, 1_400, SERVICE_MS), 150);
    }
});

// Guards against work of a parent that is wasted because its call was refused for a latency target shorter than the wait.
test("a call of a running request may wait for half of the time until its deadline", (t) => {
    const callerKind = CallerKind.RunningRequest;
    t.is(chooseMaxQueueMs({ callerKind, targetAtMs: 400, deadlineAtMs: 1_500 }, 0, SERVICE_MS), 600);
    t.is(chooseMaxQueueMs({ ...TIMES, callerKind, deadlineAtMs: 1_600 }, 0, SERVICE_MS), 1_200);
});
