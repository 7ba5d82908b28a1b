import test from "ava";
import { LaggingControls } from "./index.js";

// Guards against limits that are no longer in force, granted by a control VM that is cut off from the others.
test("a control VM that does not advance for longer than a heartbeat lags", (t) => {
    const lagging = LaggingControls.create();
    for (let atMs = 0; atMs <= 2_000; atMs += 200) {
        lagging.update(new Map([["c-1", 5], ["c-2", 7]]), 7, atMs);
        t.is(lagging.isLagging("c-1", atMs), atMs > 1_200);
        t.false(lagging.isLagging("c-2", atMs));
    }
    lagging.update(new Map([["c-1", 7], ["c-2", 7]]), 7, 2_200);
    t.false(lagging.isLagging("c-1", 2_200));
});

// Load: a configuration that changes all the time. Guards against leaving out all control VMs, whose heartbeats are never quite current.
test("a control VM that advances with each heartbeat does not lag", (t) => {
    const lagging = LaggingControls.create();
    for (let atMs = 0; atMs <= 10_000; atMs += 200) {
        lagging.update(new Map([["c-1", Math.floor(atMs / 1_000) * 10]]), atMs / 100 + 1, atMs);
        t.false(lagging.isLagging("c-1", atMs));
    }
});
