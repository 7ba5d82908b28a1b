import test from "ava";
import { parseDuration } from "./index.js";

test("a number with the unit ms or s is parsed", (t) => {
    t.is(parseDuration("1500ms"), 1_500);
    t.is(parseDuration("2.5s"), 2_500);
});

test("any other text is rejected", (t) => {
    ["", "5", "5m", "-1s", "1 s", "s", "1e3ms"].forEach((text) => t.is(parseDuration(text), undefined));
});
