import test from "ava";
import { quoteExcerpt } from "./index.js";

test("a short text is quoted in full, and a long one is cut", (t) => {
    t.is(quoteExcerpt("a\u0001b"), "\"a\\u0001b\"");
    t.is(quoteExcerpt("x".repeat(80)), `"${"x".repeat(80)}"`);
    t.is(quoteExcerpt("x".repeat(60_000)), `"${"x".repeat(80)}"…`);
});
