import test from "ava";
import { ByteBudget } from "./index.js";

test("a budget gives no more bytes than it has, and takes them back", (t) => {
    const budget = ByteBudget.create(100);
    t.true(budget.take(60));
    t.false(budget.take(41));
    t.is(budget.heldBytes, 60);
    budget.give(60);
    t.true(budget.take(100));
});
