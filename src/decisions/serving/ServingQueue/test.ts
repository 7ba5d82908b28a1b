import test from "ava";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { AdmissionKind } from "../AdmissionKind.js";
import { ServingRequest } from "../ServingRequest.js";
import { ServingQueue } from "./index.js";

function request(key: string, overrides: Partial<ServingRequest> = {}): ServingRequest {
    return {
        key,
        requestKind: RequestKind.Once,
        priority: 1,
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

test("no more requests are started than there are slots", (t) => {
    const queue = ServingQueue.create(2);
    const kinds = ["a", "b", "c"].map((key) => queue.arrive(request(key), Grade.Trusted, 0).kind);
    t.deepEqual(kinds, [AdmissionKind.Start, AdmissionKind.Start, AdmissionKind.Queue]);
    queue.finish("a", 100, true);
    t.deepEqual(keys(queue.startNext(100)), ["c"]);
});

test("a request that wants a free slot is refused at once when there is none", (t) => {
    const queue = ServingQueue.create(1);
    queue.arrive(request("a"), Grade.Trusted, 0);
    const admission = queue.arrive(request("b", { maxQueueMs: 0 }), Grade.Trusted, 0);
    t.true(admission.kind === AdmissionKind.Refuse && admission.cause === RefusalCause.Busy && admission.retryAfterMs > 0);
});

test("higher ranks go first, and within a rank those that can still meet their target", (t) => {
    const queue = ServingQueue.create(1);
    queue.arrive(request("running"), Grade.Trusted, 0);
    queue.arrive(request("late", { targetAtMs: 50 }), Grade.Trusted, 0);
    queue.arrive(request("timely"), Grade.Trusted, 1);
    queue.arrive(request("urgent", { priority: 0 }), Grade.Trusted, 2);
    const order: string[] = [];
    for (let last = "running", atMs = 100; order.length < 3; atMs += 100) {
        queue.finish(last, atMs, false);
        last = keys(queue.startNext(atMs))[0] ?? "";
        order.push(last);
    }
    t.deepEqual(order, ["urgent", "timely", "late"]);
});

test("waiting requests whose time is over are taken out and never start", (t) => {
    const queue = ServingQueue.create(1);
    queue.arrive(request("a"), Grade.Trusted, 0);
    queue.arrive(request("b", { deadlineAtMs: 1_000 }), Grade.Trusted, 0);
    t.deepEqual(keys(queue.takeOverdue(500)), []);
    t.deepEqual(keys(queue.takeOverdue(900)), ["b"]);
    queue.finish("a", 902, true);
    t.deepEqual(queue.startNext(402), []);
});

test("a request that others of a higher rank keep overtaking is refused early, not at its deadline", (t) => {
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
            if (queue.arrive(urgent, Grade.Trusted, atMs).kind === AdmissionKind.Start) {
                ends.set(urgent.key, atMs + 300);
            }
        }
        if (atMs === 300) {
            queue.arrive(request("other", { deadlineAtMs: 3_300, targetAtMs: 1_800 }), Grade.Trusted, atMs);
        }
        refusedAtMs = queue.takeOverdue(atMs).some(({ key }) => key === "other") ? atMs : undefined;
        queue.startNext(atMs).forEach(({ key }) => ends.set(key, atMs + 300));
    }
    t.true(refusedAtMs !== undefined && refusedAtMs < 2_500, `${refusedAtMs}`);
});

test("a call with a short target goes before new work of its rank that came earlier", (t) => {
    const queue = ServingQueue.create(1);
    queue.arrive(request("running"), Grade.Trusted, 0);
    queue.arrive(request("new", { targetAtMs: 1_500 }), Grade.Trusted, 0);
    queue.arrive(request("call", { targetAtMs: 450 }), Grade.Trusted, 50);
    queue.finish("running", 100, true);
    t.deepEqual(keys(queue.startNext(100)), ["call"]);
});

test("a request that was withdrawn does not start", (t) => {
    const queue = ServingQueue.create(1);
    queue.arrive(request("a"), Grade.Trusted, 0);
    queue.arrive(request("b"), Grade.Trusted, 0);
    t.true(queue.withdraw("b"));
    queue.finish("a", 10, true);
    t.deepEqual(queue.startNext(10), []);
});

test("an ejected endpoint takes one trial at a time, of work that may be repeated, and the last resort", (t) => {
    const queue = ServingQueue.create(5);
    const trial = { isTrial: true, requestKind: RequestKind.Repeatable };
    queue.arrive(request("before"), Grade.Trusted, 0);
    t.is(queue.arrive(request("a"), Grade.Ejected, 0).kind, AdmissionKind.Refuse);
    t.is(queue.arrive(request("b", { isTrial: true }), Grade.Ejected, 0).kind, AdmissionKind.Refuse);
    t.is(queue.arrive(request("c", trial), Grade.Ejected, 0).kind, AdmissionKind.Start);
    t.is(queue.arrive(request("d", trial), Grade.Ejected, 100).kind, AdmissionKind.Refuse);
    t.is(queue.arrive(request("e", { isLastResort: true }), Grade.Ejected, 100).kind, AdmissionKind.Start);
});

test("what waits for an endpoint that is not trusted any more is taken out, but for the last resort", (t) => {
    const queue = ServingQueue.create(1);
    queue.arrive(request("a"), Grade.Trusted, 0);
    queue.arrive(request("b"), Grade.Trusted, 0);
    queue.arrive(request("c", { isLastResort: true }), Grade.Trusted, 0);
    queue.arrive(request("d", { requestKind: RequestKind.Repeatable }), Grade.Trusted, 0);
    t.deepEqual(keys(queue.withdrawBarred(Grade.Doubted)), ["b"]);
    t.deepEqual(keys(queue.withdrawBarred(Grade.Ejected)), ["d"]);
    queue.finish("a", 10, false);
    t.deepEqual(keys(queue.startNext(10)), ["c"]);
});

test("in a surge of twice the capacity, callers of the higher rank are served and the others refused early", (t) => {
    const queue = ServingQueue.create(5);
    const ends = new Map<string, number>();
    const served = [0, 0];
    const refusedAfterMs: number[] = [];
    for (let atMs = 0; atMs < 20_000; atMs += 10) {
        [...ends].filter(([, endMs]) => endMs <= atMs).forEach(([key]) => {
            ends.delete(key);
            queue.finish(key, atMs, true);
        });
        queue.takeOverdue(atMs);
        if (atMs % 60 === 0) {
            const priority = (atMs / 60) % 2;
            const arrival = request(`${atMs}`, { priority, deadlineAtMs: atMs + 3_000, targetAtMs: atMs + 1_500, maxQueueMs: 2_400 });
            const admission = queue.arrive(arrival, Grade.Trusted, atMs);
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
