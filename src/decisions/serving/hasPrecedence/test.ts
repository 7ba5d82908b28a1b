import test from "ava";
import { hasPrecedence } from "./index.js";

test("the priority decides before the target, and equal requests are ahead of each other", (t) => {
    const request = { priority: 1, targetAtMs: 5 };
    t.true(hasPrecedence({ priority: 0, targetAtMs: 9 }, request));
    t.false(hasPrecedence(request, { priority: 0, targetAtMs: 9 }));
    t.true(hasPrecedence({ priority: 1, targetAtMs: 4 }, request));
    t.false(hasPrecedence({ priority: 1, targetAtMs: 6 }, request));
    t.true(hasPrecedence(request, { ...request }));
});
