import test from "ava";
import { BodyBytesLimit } from "./index.js";

const MEBIBYTE = 1_024 * 1_024;
const KB = 1_000;

/** Lets requests with bodies be answered, all at the same time. */
function serve(limit: BodyBytesLimit, bodies: readonly number[]): void {
    bodies.forEach((bytes) => limit.recordStart(bytes));
    bodies.forEach((bytes) => limit.recordEnd(bytes, true));
}

/** Lets the endpoint crash while it holds bodies. */
function crash(limit: BodyBytesLimit, bodies: readonly number[], nowMs: number): boolean {
    bodies.forEach((bytes) => limit.recordStart(bytes));
    const { heldBytes } = limit;
    bodies.forEach((bytes) => limit.recordEnd(bytes, false));
    return limit.recordCrash(heldBytes, nowMs);
}

const eight = (bytes: number): readonly number[] => new Array<number>(8).fill(bytes);

interface Case {
    readonly load: string;
    readonly served: readonly number[];
    readonly lost: readonly number[];
    readonly budgetBytes: number;
}

const CASES: readonly Case[] = [
    { load: "8 uploads of 360 kB at an endpoint that had held half of that", served: eight(100 * KB), lost: eight(360 * KB), budgetBytes: 1_440 * KB },
    { load: "8 uploads where nothing else has been served", served: [], lost: eight(60 * KB), budgetBytes: 240 * KB },
    { load: "one large upload: the largest body still fits", served: [], lost: [360 * KB], budgetBytes: 360 * KB },
    { load: "slightly more than the endpoint has held without harm", served: eight(60 * KB), lost: eight(61 * KB), budgetBytes: 480 * KB },
    { load: "a usual amount, as when its VM is killed", served: eight(60 * KB), lost: eight(50 * KB), budgetBytes: 64 * MEBIBYTE },
    { load: "no bodies", served: eight(60 * KB), lost: eight(0), budgetBytes: 64 * MEBIBYTE },
];

// Guards against an endpoint that gets as many bodies after it ran out of memory, and against a crash with another cause that halves a service.
CASES.forEach(({ load, served, lost, budgetBytes }) => {
    test(`budget after a crash with ${load}`, (t) => {
        const limit = BodyBytesLimit.create();
        serve(limit, served);
        t.is(crash(limit, lost, 10_000), budgetBytes < 64 * MEBIBYTE);
        t.is(limit.budgetBytes(10_000), budgetBytes);
        t.is(limit.heldBytes, 0);
    });
});

test("one request is always admitted, and one without a body; others while they fit", (t) => {
    const limit = BodyBytesLimit.create();
    t.true(limit.admits(100 * MEBIBYTE, 0));
    limit.recordStart(100 * MEBIBYTE);
    t.false(limit.admits(1, 0));
    t.true(limit.admits(0, 0));
    limit.recordEnd(100 * MEBIBYTE, true);
    limit.recordStart(60 * MEBIBYTE);
    t.true(limit.admits(4 * MEBIBYTE, 0));
    t.false(limit.admits(4 * MEBIBYTE + 1, 0));
});

// Guards against a budget that one crash lowers once for each request that it broke off.
test("the requests that one crash breaks off count once", (t) => {
    const limit = BodyBytesLimit.create();
    t.true(crash(limit, eight(100 * KB), 10_000));
    t.false(limit.recordCrash(700 * KB, 10_100));
    t.false(limit.recordCrash(600 * KB, 12_000));
    t.is(limit.budgetBytes(12_000), 400 * KB);
});

// Guards against an endpoint that was given less memory and crashes at what it held before, again and again.
test("a second crash at a usual amount lowers the budget", (t) => {
    const limit = BodyBytesLimit.create();
    serve(limit, eight(60 * KB));
    t.false(crash(limit, eight(50 * KB), 10_000));
    t.true(crash(limit, eight(50 * KB), 20_000));
    t.is(limit.budgetBytes(20_000), 200 * KB);
});

test("the budget stays for a minute after a crash, and then doubles each minute up to the maximum", (t) => {
    const limit = BodyBytesLimit.create();
    crash(limit, eight(100 * KB), 0);
    const budgets = [0, 60_000, 120_000, 180_000, 10_000_000].map((atMs) => limit.budgetBytes(atMs));
    t.deepEqual(budgets, [400 * KB, 400 * KB, 800 * KB, 1_600 * KB, 64 * MEBIBYTE]);
});
