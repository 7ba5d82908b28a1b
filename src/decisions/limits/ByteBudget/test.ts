import test from "ava";
import { ByteBudget } from "./index.js";

test("no more bytes can be acquired than the budget has, and released bytes can be acquired again", (t) => {
    const budget = ByteBudget.create(100);
    t.true(budget.tryAcquire(60));
    t.false(budget.tryAcquire(41));
    t.is(budget.heldBytes, 60);
    budget.release(60);
    t.true(budget.tryAcquire(100));
});
