import test from "ava";
import { LocalQuota } from "./index.js";

const BOUNDS = { capacity: 1, leaseMs: 1_000, localPerSecond: 1, localHoldMs: 5_000 };

test("a token is there for a part of each period, once", (t) => {
    const quota = LocalQuota.create(() => 0);
    t.deepEqual([0, 1, 100_000, 104_999, 105_001].map((atMs) => quota.take(BOUNDS, 100, atMs)), [0, 99_999, 0, 95_001, 94_999]);
    t.is(quota.take(BOUNDS, 100, 206_000), 94_000);
});

// Load: all proxies without contact for hours, then a rise at all of them. Guards against tokens that are saved up.
test("after an outage of any length all proxies together grant the tokens of a window and of the hold time", (t) => {
    const quotas = Array.from({ length: 100 }, (_, index) => LocalQuota.create(() => index / 100));
    let granted = 0;
    for (let atMs = 7_200_100; atMs < 7_205_100; atMs += 50) {
        granted += quotas.filter((quota) => quota.take(BOUNDS, 100, atMs) === 0).length;
    }
    t.is(granted, 10);
});

// Guards against a token with each new count of proxies, which moves the periods.
test("a change of the number of proxies does not bring tokens forward by more than half a period", (t) => {
    const quota = LocalQuota.create(() => 0.3);
    let granted = 0;
    for (let atMs = 0; atMs < 1_000_000; atMs += 500) {
        granted += Number(quota.take(BOUNDS, 100 + (atMs / 500) % 5, atMs) === 0);
    }
    t.true(granted <= 20, `${granted} in ten periods`);
});

test("without a rate there is no token", (t) => {
    t.is(LocalQuota.create(() => 0).take({ capacity: 1, leaseMs: 0, localPerSecond: 0, localHoldMs: 0 }, 100, 0), Number.POSITIVE_INFINITY);
});
