import test from "ava";
import { newsPace } from "./index.js";

test("a small fleet gets its loads five times a second, and a change of trust within a tenth of a second", (t) => {
    t.is(newsPace(33).loadsMs, 200);
    t.true(newsPace(33).gradesMs < 100);
});

test("at any size, the messages and bytes of loads that one entry gets are bounded, and those of the fleet grow with its size", (t) => {
    [30, 100, 300, 700].forEach((gates) => {
        const { loadsMs, gradesMs, recordsMs } = newsPace(gates);
        t.true(gates * 12 * 1_000 / loadsMs <= 4_096);
        t.true(gates * 1_000 / gradesMs <= 1_001);
        t.true(gates * 1_000 / recordsMs <= 2_001);
    });
});

test("at 700 gates the loads are still younger than the age at which entries drop them", (t) => {
    t.true(newsPace(700).loadsMs < 3_000);
});
