import test from "ava";
import { updateIntervals } from "./index.js";

test("entries of a small fleet receive loads five times a second, and a changed grade within a tenth of a second", (t) => {
    t.is(updateIntervals(33).loadsMs, 200);
    t.true(updateIntervals(33).gradesMs < 100);
});

test("at any fleet size, the bytes of loads to one entry and the messages to all entries together are bounded", (t) => {
    [30, 100, 300, 700].forEach((gates) => {
        const { loadsMs, gradesMs, recordsMs } = updateIntervals(gates);
        t.true(gates * 12 * 1_000 / loadsMs <= 4_096);
        t.true(gates * 1_000 / gradesMs <= 1_001);
        t.true(gates * 1_000 / recordsMs <= 2_001);
    });
});

test("at 700 gates, loads still arrive before entries drop the previous ones as too old", (t) => {
    t.true(updateIntervals(700).loadsMs < 3_000);
});
