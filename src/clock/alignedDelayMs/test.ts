import test from "ava";
import { alignedDelayMs } from "./index.js";

test("timers with different periods are aligned to the same times", (t) => {
    t.is(1_234 + alignedDelayMs(1_234, 100), 1_300);
    t.is(1_234 + alignedDelayMs(1_234, 200), 1_400);
    t.is(1_300 + alignedDelayMs(1_300, 100), 1_400);
});

test("a timer that fired slightly early does not fire twice", (t) => {
    t.is(1_299 + alignedDelayMs(1_299, 100), 1_400);
});
