import test from "ava";
import { SendReason } from "../../decisions/limits/SendReason.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { EndpointMonitor } from "./index.js";

/** Sends requests at an interval, and returns the times at which an excess was logged. */
function findExcess(limits: readonly (readonly [atMs: number, perSecond: number | undefined])[], intervalMs: number): readonly number[] {
    const found: number[] = [];
    let atMs = 0;
    const events = EventLog.createUnfiltered("vm-1", () => undefined, (event) => {
        if (event === EventNumber.LimitExceeded) {
            found.push(atMs);
        }
    });
    const monitor = EndpointMonitor.create(events);
    for (; atMs < 20_000; atMs += intervalMs) {
        const named = limits.filter(([fromMs]) => fromMs > atMs - intervalMs && fromMs <= atMs);
        named.forEach(([, perSecond]) => monitor.recordLimit(undefined, perSecond, atMs));
        monitor.recordSend(undefined, SendReason.First, atMs);
    }
    return found;
}

test("more requests than the limit and its burst allow are logged once in each window", (t) => {
    t.deepEqual(findExcess([[0, 2]], 250), [4_000, 8_000, 12_000, 16_000]);
});

test("requests within the limit are not logged, nor those without a limit", (t) => {
    t.deepEqual(findExcess([[0, 4]], 250), []);
    t.deepEqual(findExcess([], 10), []);
    t.deepEqual(findExcess([[0, 2], [3_000, undefined]], 250), []);
});

test("requests that were sent before a limit was named or lowered are no excess of it", (t) => {
    t.deepEqual(findExcess([[0, 4], [10_000, 2]], 250), [14_000, 18_000]);
});
