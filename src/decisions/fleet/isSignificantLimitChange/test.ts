import test from "ava";
import { isSignificantLimitChange } from "./index.js";

test("the beginning and the end of a limit are published, and so are changes by more than a tenth", (t) => {
    t.true(isSignificantLimitChange(undefined, 3));
    t.true(isSignificantLimitChange(3, undefined));
    t.true(isSignificantLimitChange(3, 2.5));
    t.true(isSignificantLimitChange(0, 1));
});

test("small changes, and no limit before and after, are not published", (t) => {
    t.false(isSignificantLimitChange(undefined, undefined));
    t.false(isSignificantLimitChange(3, 3.2));
});
