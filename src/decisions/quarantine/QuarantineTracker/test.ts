import test from "ava";
import { QuarantineTracker } from "./index.js";

const MINUTE_MS = 60_000;

test("a request in flight at two losses is quarantined", (t) => {
    const tracker = QuarantineTracker.create();
    tracker.recordStrike("crash", "gate-1", 0);
    t.false(tracker.isQuarantined("crash", 0));
    tracker.recordStrike("crash", "gate-2", 1);
    t.true(tracker.isQuarantined("crash", 1));
});

test("a loss that is reported repeatedly counts once", (t) => {
    const tracker = QuarantineTracker.create();
    t.true(tracker.recordStrike("crash", "gate-1", 0));
    t.false(tracker.recordStrike("crash", "gate-1", 1));
    t.false(tracker.isQuarantined("crash", 1));
});

test("a request that was answered between two losses is not quarantined", (t) => {
    const tracker = QuarantineTracker.create();
    tracker.recordStrike("popular", "gate-1", 0);
    t.true(tracker.clearStrikes("popular", 1));
    tracker.recordStrike("popular", "gate-2", 2);
    t.false(tracker.isQuarantined("popular", 2));
});

test("a late answer does not lift a quarantine", (t) => {
    const tracker = QuarantineTracker.create();
    tracker.recordStrike("crash", "gate-1", 0);
    tracker.recordStrike("crash", "gate-2", 0);
    t.false(tracker.clearStrikes("crash", 1));
    t.true(tracker.isQuarantined("crash", 1));
});

test("after a quarantine has ended, two fresh strikes are needed to quarantine the request again", (t) => {
    const tracker = QuarantineTracker.create();
    tracker.recordStrike("crash", "gate-1", 0);
    tracker.recordStrike("crash", "gate-2", 0);
    t.false(tracker.isQuarantined("crash", 10 * MINUTE_MS));
    tracker.recordStrike("crash", "gate-3", 11 * MINUTE_MS);
    t.false(tracker.isQuarantined("crash", 11 * MINUTE_MS));
    tracker.recordStrike("crash", "gate-4", 12 * MINUTE_MS);
    t.true(tracker.isQuarantined("crash", 12 * MINUTE_MS));
});

test("memory is bounded: the request with the oldest strike is evicted", (t) => {
    const tracker = QuarantineTracker.create();
    for (let index = 0; index < 5_000; index += 1) {
        tracker.recordStrike(`request-${index}`, "gate-1", index);
    }
    t.is(tracker.size, 4_096);
});

// Guards against strikes of losses without end, each under an id of its own, of which none was ever dropped.
test("the strikes of a request are bounded, and those that no longer count are dropped", (t) => {
    const tracker = QuarantineTracker.create();
    for (let index = 0; index < 1_000; index += 1) {
        t.true(tracker.recordStrike("crash", `gate-${index}`, index));
    }
    t.is(tracker.strikeCount, 16);
    t.true(tracker.isQuarantined("crash", 1_000));
    t.true(tracker.recordStrike("crash", "gate-late", 20 * MINUTE_MS));
    t.is(tracker.strikeCount, 1);
    t.false(tracker.isQuarantined("crash", 20 * MINUTE_MS));
});
