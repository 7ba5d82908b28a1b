import test from "ava";
import { WaitBounds } from "./index.js";

// Load: the urgent kind has a target of 1.5 s and the other one of 2.5 s. Guards against the less urgent kind being served more often.
test("a kind may wait for no longer than a more urgent one usually may", (t) => {
    const bounds = WaitBounds.create();
    const urgent = { priority: 0, maxQueueMs: 800 };
    const other = { priority: 2, maxQueueMs: 1_800 };
    t.is(bounds.boundMs(other, 0), 1_350);
    bounds.record(urgent, 0);
    bounds.record(other, 0);
    t.is(bounds.boundMs(other, 1_000), 800);
    t.is(bounds.boundMs(urgent, 1_000), 600);
    t.is(bounds.boundMs(other, 5_000), 1_350);
});

// Guards against a bound near zero after offers for free slots only, or of requests that are late already.
test("requests that may not wait for long say nothing about their kind", (t) => {
    const bounds = WaitBounds.create();
    bounds.record({ priority: 0, maxQueueMs: 0 }, 0);
    bounds.record({ priority: 0, maxQueueMs: 150 }, 0);
    t.is(bounds.boundMs({ priority: 1, maxQueueMs: 1_000 }, 0), 750);
});
