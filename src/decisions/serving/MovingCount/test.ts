import test from "ava";
import { MovingCount } from "./index.js";

test("the count falls to 1/e in its time constant, and further events add to what is left", (t) => {
    const count = MovingCount.create(1_000);
    t.is(count.at(0), 0);
    count.add(0);
    count.add(0);
    t.is(count.at(0), 2);
    t.true(Math.abs(count.at(1_000) - 2 / Math.E) < 1e-9);
    count.add(1_000);
    t.true(Math.abs(count.at(1_000) - 2 / Math.E - 1) < 1e-9);
});
