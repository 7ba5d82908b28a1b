import test from "ava";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { EndpointLimiter } from "../../limits/EndpointLimiter/index.js";
import { StatedLimitKind } from "../../limits/StatedLimitKind.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { AdmissionKind } from "../AdmissionKind.js";
import { ServingRequest } from "../ServingRequest.js";
import { ServingQueue } from "./index.js";

function request(key: string, overrides: Partial<ServingRequest> = {}): ServingRequest {
    return {
        key,
        requestKind: RequestKind.Once,
        priority: 1,
        organisation: "",
        organisationPriority: 0,
        deadlineAtMs: 10_000,
        targetAtMs: 5_000,
        maxQueueMs: 5_000,
        isTrial: false,
        isLastResort: false,
        ...overrides,
    };
}

function keys(requests: readonly ServingRequest[]): readonly string[] {
    return requests.map(({ key }) => key);
}

test("no more requests run at the same time than there are slots", (t) => {
    const queue = ServingQueue.create(2);
    const kinds = ["a", "b", "c"].map((key) => queue.admit(request(key), Grade.Trusted, 0).kind);
    t.deepEqual(kinds, [AdmissionKind.Start, AdmissionKind.Start, AdmissionKind.Queue]);
    queue.finish("a", 100, true);
    t.deepEqual(keys(queue.startNext(100)), ["c"]);
});

test("a request that accepts no queue wait is refused at once when there is no free slot", (t) => {
    const queue = ServingQueue.create(1);
    queue.admit(request("a"), Grade.Trusted, 0);
    const admission = queue.admit(request("b", { maxQueueMs: 0 }), Grade.Trusted, 0);
    t.true(admission.kind === AdmissionKind.Refuse && admission.cause === RefusalCause.Busy && admission.retryAfterMs > 0);
});

test("higher priorities start first, and within a priority those requests that can still meet their target", (t) => {
    const queue = ServingQueue.create(1);
    queue.admit(request("running"), Grade.Trusted, 0);
    queue.admit(request("late", { targetAtMs: 50 }), Grade.Trusted, 0);
    queue.admit(request("timely"), Grade.Trusted, 1);
    queue.admit(request("urgent", { priority: 0 }), Grade.Trusted, 2);
    const order: string[] = [];
    for (let last = "running", atMs = 100; order.length < 3; atMs += 100) {
        queue.finish(last, atMs, false);
        last = keys(queue.startNext(atMs))[0] ?? "";
        order.push(last);
    }
    t.deepEqual(order, ["urgent", "timely", "late"]);
});

test("waiting requests that cannot meet their deadline are removed and never start", (t) => {
    const queue = ServingQueue.create(1);
    queue.admit(request("a"), Grade.Trusted, 0);
    queue.admit(request("b", { deadlineAtMs: 1_000 }), Grade.Trusted, 0);
    t.deepEqual(keys(queue.removeOverdue(500)), []);
    t.deepEqual(keys(queue.removeOverdue(900)), ["b"]);
    queue.finish("a", 902, true);
    t.deepEqual(queue.startNext(402), []);
});

test("a request that higher-priority requests keep overtaking is removed early, not at its deadline", (t) => {
    const queue = ServingQueue.create(2);
    const ends = new Map<string, number>();
    let refusedAtMs: number | undefined;
    for (let atMs = 0; atMs < 4_000 && refusedAtMs === undefined; atMs += 10) {
        [...ends].filter(([, endMs]) => endMs <= atMs).forEach(([key]) => {
            ends.delete(key);
            queue.finish(key, atMs, true);
        });
        if (atMs % 120 === 0) {
            const urgent = request(`urgent ${atMs}`, { priority: 0, maxQueueMs: 600 });
            if (queue.admit(urgent, Grade.Trusted, atMs).kind === AdmissionKind.Start) {
                ends.set(urgent.key, atMs + 300);
            }
        }
        if (atMs === 300) {
            queue.admit(request("other", { deadlineAtMs: 3_300, targetAtMs: 1_800 }), Grade.Trusted, atMs);
        }
        refusedAtMs = queue.removeOverdue(atMs).some(({ key }) => key === "other") ? atMs : undefined;
        queue.startNext(atMs).forEach(({ key }) => ends.set(key, atMs + 300));
    }
    t.true(refusedAtMs !== undefined && refusedAtMs < 2_500, `${refusedAtMs}`);
});

test("a nested call with a short target starts before a new request of the same priority that arrived earlier", (t) => {
    const queue = ServingQueue.create(1);
    queue.admit(request("running"), Grade.Trusted, 0);
    queue.admit(request("new", { targetAtMs: 1_500 }), Grade.Trusted, 0);
    queue.admit(request("call", { targetAtMs: 450 }), Grade.Trusted, 50);
    queue.finish("running", 100, true);
    t.deepEqual(keys(queue.startNext(100)), ["call"]);
});

test("a request that was removed from the queue does not start", (t) => {
    const queue = ServingQueue.create(1);
    queue.admit(request("a"), Grade.Trusted, 0);
    queue.admit(request("b"), Grade.Trusted, 0);
    t.true(queue.removeWaiting("b"));
    queue.finish("a", 10, true);
    t.deepEqual(queue.startNext(10), []);
});

test("an ejected endpoint takes one repeatable probe at a time, and last-resort requests", (t) => {
    const queue = ServingQueue.create(5);
    const probe = { isTrial: true, requestKind: RequestKind.Repeatable };
    queue.admit(request("before"), Grade.Trusted, 0);
    t.is(queue.admit(request("a"), Grade.Ejected, 0).kind, AdmissionKind.Refuse);
    t.is(queue.admit(request("b", { isTrial: true }), Grade.Ejected, 0).kind, AdmissionKind.Refuse);
    t.is(queue.admit(request("c", probe), Grade.Ejected, 0).kind, AdmissionKind.Start);
    t.is(queue.admit(request("d", probe), Grade.Ejected, 100).kind, AdmissionKind.Refuse);
    t.is(queue.admit(request("e", { isLastResort: true }), Grade.Ejected, 100).kind, AdmissionKind.Start);
});

test("waiting requests that the endpoint's new grade blocks are removed, except last-resort requests", (t) => {
    const queue = ServingQueue.create(1);
    queue.admit(request("a"), Grade.Trusted, 0);
    queue.admit(request("b"), Grade.Trusted, 0);
    queue.admit(request("c", { isLastResort: true }), Grade.Trusted, 0);
    queue.admit(request("d", { requestKind: RequestKind.Repeatable }), Grade.Trusted, 0);
    t.deepEqual(keys(queue.removeBlocked(Grade.Doubted)), ["b"]);
    t.deepEqual(keys(queue.removeBlocked(Grade.Ejected)), ["d"]);
    queue.finish("a", 10, false);
    t.deepEqual(keys(queue.startNext(10)), ["c"]);
});

test("in a surge of twice the capacity, the higher priority is served and the lower one refused early", (t) => {
    const queue = ServingQueue.create(5);
    const ends = new Map<string, number>();
    const served = [0, 0];
    const refusedAfterMs: number[] = [];
    for (let atMs = 0; atMs < 20_000; atMs += 10) {
        [...ends].filter(([, endMs]) => endMs <= atMs).forEach(([key]) => {
            ends.delete(key);
            queue.finish(key, atMs, true);
        });
        queue.removeOverdue(atMs);
        if (atMs % 60 === 0) {
            const priority = (atMs / 60) % 2;
            const arrival = request(`${atMs}`, { priority, deadlineAtMs: atMs + 3_000, targetAtMs: atMs + 1_500, maxQueueMs: 2_400 });
            const admission = queue.admit(arrival, Grade.Trusted, atMs);
            if (admission.kind === AdmissionKind.Start) {
                ends.set(arrival.key, atMs + 600);
                served[priority] = (served[priority] ?? 0) + 1;
            }
            if (admission.kind === AdmissionKind.Refuse) {
                refusedAfterMs.push(0);
            }
        }
        queue.startNext(atMs).forEach(({ key, priority }) => {
            ends.set(key, atMs + 600);
            served[priority] = (served[priority] ?? 0) + 1;
        });
    }
    t.true((served[0] ?? 0) > 150, `${served.join(" and ")} served`);
    t.true((served[0] ?? 0) > 5 * (served[1] ?? 0));
});

function limitedQueue(slots: number, perSecond: number): ServingQueue {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse({ kind: StatedLimitKind.Rate, perSecond }, 0, 0);
    const queue = ServingQueue.create(slots);
    queue.resetEndpoint(limiter);
    return queue;
}

test("a request that the limit does not allow yet is refused with the time until then, or waits", (t) => {
    const queue = limitedQueue(5, 2);
    const refusal = queue.admit(request("a", { maxQueueMs: 0 }), Grade.Trusted, 0);
    t.deepEqual(refusal, { kind: AdmissionKind.Refuse, cause: RefusalCause.Busy, retryAfterMs: 500 });
    t.is(queue.admit(request("b", { maxQueueMs: 500 }), Grade.Trusted, 0).kind, AdmissionKind.Queue);
    t.is(queue.admit(request("c", { maxQueueMs: 999 }), Grade.Trusted, 0).kind, AdmissionKind.Refuse);
    t.deepEqual(keys(queue.startNext(499)), []);
    t.deepEqual(keys(queue.startNext(500)), ["b"]);
});

test("what the limit allows goes to the most urgent request, whatever way the others came", (t) => {
    const queue = limitedQueue(5, 1);
    queue.admit(request("probe", { isTrial: true }), Grade.Trusted, 0);
    queue.admit(request("last-resort", { isLastResort: true }), Grade.Trusted, 0);
    queue.admit(request("urgent", { priority: 0 }), Grade.Trusted, 0);
    t.deepEqual(keys(queue.startNext(1_000)), ["urgent"]);
    t.deepEqual(keys(queue.startNext(1_999)), []);
});

test("a slot that is given back unused leaves its share of the limit to the next request", (t) => {
    const queue = limitedQueue(5, 1);
    t.is(queue.admit(request("a"), Grade.Trusted, 1_000).kind, AdmissionKind.Start);
    t.is(queue.limitWaitMs(1_000), 1_000);
    queue.release("a");
    t.is(queue.limitWaitMs(1_000), 0);
});

test("an endpoint that has reached its limit asks for no probes", (t) => {
    const queue = limitedQueue(5, 1);
    t.is(queue.probeDemand(Grade.Trusted, 900), ProbeDemand.None);
    t.false(queue.hasBeenIdleFor(500, 900));
    t.is(queue.probeDemand(Grade.Trusted, 1_000), ProbeDemand.Any);
    t.true(queue.hasBeenIdleFor(500, 1_000));
});

test("as many slots count as usable as requests run at the limited rate", (t) => {
    t.is(limitedQueue(5, 4).usableSlots, 2);
    t.is(ServingQueue.create(5).usableSlots, 5);
});

// Guards against a queue that is bounded by time alone: requests that overtake all others wait for no one.
test("the number of waiting requests is bounded, whatever their targets", (t) => {
    const queue = ServingQueue.create(1);
    const admissions = Array.from({ length: 2_000 }, (_value, index) =>
        queue.admit(request(String(index), { targetAtMs: 5_000 - index }), Grade.Trusted, 0));
    t.is(queue.waitingCount, 1_024);
    const last = admissions.at(-1);
    t.true(last?.kind === AdmissionKind.Refuse && last.cause === RefusalCause.Busy, JSON.stringify(last));
});

// Guards against a search of the queue for each request in it, ten times a second: with 1,024 it took a third of a processor.
test("the overdue requests of a long queue are those that each wait alone would tell, and are found in one pass", (t) => {
    let random = 1;
    const next = (bound: number): number => {
        random = random * 48_271 % 2_147_483_647;
        return random % bound;
    };
    const queue = ServingQueue.create(4);
    for (let index = 0; index < 1_000; index += 1) {
        queue.admit(request(String(index), {
            priority: next(3),
            targetAtMs: next(40),
            deadlineAtMs: 100_000 + next(100_000),
            maxQueueMs: Number.POSITIVE_INFINITY,
        }), Grade.Trusted, 0);
    }
    const { serviceMs } = queue;
    const atMs = 90_000;
    let reads = 0;
    const waiting = queue.removeAllWaiting().map(({ targetAtMs, ...rest }) => ({
        ...rest,
        get targetAtMs(): number {
            reads += 1;
            return targetAtMs;
        },
    }));
    t.true(waiting.length > 900);
    waiting.forEach((one) => void queue.admit(one, Grade.Trusted, 0));
    const expected = waiting.filter((one) => atMs + queue.expectedWaitMs(one, atMs) + serviceMs / 2 >= one.deadlineAtMs).map(({ key }) => key);
    reads = 0;
    const removed = keys(queue.removeOverdue(atMs));
    t.deepEqual(removed, expected);
    t.true(removed.length > 100 && removed.length < waiting.length, `${removed.length} of ${waiting.length}`);
    t.true(reads < 50 * waiting.length, `${reads} reads`);
});

// Guards against an endpoint that states more slots than a process has descriptors for connections.
test("the number of running requests is bounded, whatever number of slots the endpoint states", (t) => {
    const queue = ServingQueue.create(1);
    queue.setSlots(65_535);
    for (let index = 0; index < 2_000; index += 1) {
        queue.admit(request(String(index)), Grade.Trusted, 0);
    }
    t.is(queue.runningCount, 1_024);
    t.is(queue.usableSlots, 1_024);
});

/** Fills one slot and the queue behind it with requests of one organisation, as far as they are admitted. */
function fillWith(queue: ServingQueue, organisation: string, overrides: Partial<ServingRequest> = {}): readonly string[] {
    queue.admit(request("running", { organisation, ...overrides }), Grade.Trusted, 0);
    return Array.from({ length: 10 }, (_value, index) => `${organisation}${index}`).filter((key) =>
        queue.admit(request(key, { organisation, maxQueueMs: 1_700, ...overrides }), Grade.Trusted, 0).kind === AdmissionKind.Queue);
}

// Load: one organisation has filled the queue when others come. Guards against a heavy sender that crowds out the others.
test("a request of a less served organisation displaces the last one of the most served organisation", (t) => {
    const queue = ServingQueue.create(1);
    const waiting = fillWith(queue, "a");
    const before = queue.waitingCount;
    t.is(queue.admit(request("b", { organisation: "b", maxQueueMs: 1_700 }), Grade.Trusted, 0).kind, AdmissionKind.Queue);
    t.is(queue.admit(request("c", { organisation: "c", maxQueueMs: 1_700 }), Grade.Trusted, 0).kind, AdmissionKind.Queue);
    t.is(queue.admit(request("d", { organisation: "d", maxQueueMs: 1_700 }), Grade.Trusted, 0).kind, AdmissionKind.Queue);
    t.deepEqual(queue.startNext(0), []);
    const displaced = keys(queue.removeDisplaced(0));
    t.true(displaced.length > 0 && displaced.length <= 3 && displaced[0] === waiting.at(-1), displaced.join(" "));
    t.true(queue.waitingCount <= before + 2);
    t.is(queue.admit(request("late", { organisation: "a", maxQueueMs: 1_700 }), Grade.Trusted, 0).kind, AdmissionKind.Refuse);
});

// Failure: the entry was told that the request has not run, and offers it elsewhere.
test("a displaced request never starts at this gate", (t) => {
    const queue = ServingQueue.create(1);
    fillWith(queue, "a");
    queue.admit(request("urgent1", { organisation: "b", priority: 0 }), Grade.Trusted, 0);
    queue.admit(request("urgent2", { organisation: "c", priority: 0 }), Grade.Trusted, 0);
    queue.admit(request("urgent3", { organisation: "d", priority: 0 }), Grade.Trusted, 0);
    const displaced = keys(queue.removeDisplaced(0));
    t.true(displaced.length > 0);
    const started: string[] = [];
    for (let last = "running", atMs = 10; last !== ""; atMs += 10) {
        queue.finish(last, atMs, false);
        last = keys(queue.startNext(atMs))[0] ?? "";
        started.push(last);
    }
    t.deepEqual(started.filter((key) => displaced.includes(key)), []);
});

test("a call without an organisation starts before requests of organisations and is not displaced", (t) => {
    const queue = ServingQueue.create(1);
    fillWith(queue, "a", { priority: 0 });
    queue.admit(request("call", { priority: 2, maxQueueMs: 400 }), Grade.Trusted, 0);
    for (let index = 0; index < 10; index += 1) {
        queue.admit(request(`b${index}`, { organisation: "b", priority: 0 }), Grade.Trusted, 0);
    }
    t.false(keys(queue.removeDisplaced(0)).includes("call"));
    queue.finish("running", 10, false);
    t.deepEqual(keys(queue.startNext(10)), ["call"]);
});

// Failure: the entry cancels a request that waits, or does not confirm its slot. Guards against an organisation that pays for what has not run.
test("a request that was cancelled or not confirmed leaves no use behind", (t) => {
    const order = (cancelsFirst: boolean): readonly string[] => {
        const queue = ServingQueue.create(1);
        queue.admit(request("running"), Grade.Trusted, 0);
        if (cancelsFirst) {
            queue.admit(request("cancelled", { organisation: "a" }), Grade.Trusted, 0);
            queue.removeWaiting("cancelled");
            queue.admit(request("unconfirmed", { organisation: "a" }), Grade.Trusted, 0);
            queue.finish("running", 1, false);
            t.deepEqual(keys(queue.startNext(1)), ["unconfirmed"]);
            queue.release("unconfirmed");
            queue.admit(request("running"), Grade.Trusted, 2);
        }
        queue.admit(request("a", { organisation: "a", targetAtMs: 4_000 }), Grade.Trusted, 2);
        queue.admit(request("b", { organisation: "b" }), Grade.Trusted, 2);
        queue.finish("running", 3, false);
        return keys(queue.startNext(3));
    };
    t.deepEqual(order(false), ["a"]);
    t.deepEqual(order(true), ["a"]);
});

// Failure: the endpoint restarts while a request of its earlier run is reverted.
test("an endpoint that restarts resets what is known of its use", (t) => {
    const queue = ServingQueue.create(1);
    queue.admit(request("a1", { organisation: "a" }), Grade.Trusted, 0);
    queue.finish("a1", 10, true);
    queue.admit(request("a2", { organisation: "a" }), Grade.Trusted, 10);
    queue.resetEndpoint(EndpointLimiter.create());
    queue.admit(request("b1", { organisation: "b" }), Grade.Trusted, 20);
    queue.admit(request("a3", { organisation: "a", targetAtMs: 4_000 }), Grade.Trusted, 20);
    queue.release("a2");
    t.deepEqual(keys(queue.startNext(20)), ["a3"]);
});

// Guards against a deployment without organisations that orders its requests in another way than before.
test("without organisations nothing is displaced and the order is by priority, then by those in time, then by target", (t) => {
    let random = 7;
    const next = (bound: number): number => {
        random = random * 48_271 % 2_147_483_647;
        return random % bound;
    };
    const queue = ServingQueue.create(1);
    queue.admit(request("running", { priority: 0 }), Grade.Trusted, 0);
    const waiting = Array.from({ length: 200 }, (_value, index) =>
        request(String(index), { priority: next(3), targetAtMs: next(10_000), deadlineAtMs: 1_000_000, maxQueueMs: Number.POSITIVE_INFINITY }));
    waiting.forEach((one) => {
        t.is(queue.admit(one, Grade.Trusted, 0).kind, AdmissionKind.Queue);
    });
    t.deepEqual(queue.removeDisplaced(5_000), []);
    const isLate = ({ targetAtMs }: ServingRequest): number => Number(5_000 + queue.serviceMs > targetAtMs);
    const expected = [...waiting].sort((left, right) =>
        left.priority - right.priority || isLate(left) - isLate(right) || left.targetAtMs - right.targetAtMs);
    const started: string[] = [];
    for (let last = "running"; started.length < waiting.length;) {
        queue.finish(last, 5_000, false);
        last = keys(queue.startNext(5_000))[0] ?? "";
        started.push(last);
    }
    t.deepEqual(started, keys(expected));
});
