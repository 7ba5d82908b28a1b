import test from "ava";
import { ResponseSizes } from "./index.js";

test("the usual size of a route is the mean of its latest responses, and 0 before the first one", (t) => {
    const sizes = ResponseSizes.create();
    t.is(sizes.usualBytes("pages"), 0);
    sizes.recordResponse("pages", 24_000);
    t.is(sizes.usualBytes("pages"), 24_000);
    sizes.recordResponse("pages", 14_000);
    t.is(sizes.usualBytes("pages"), 23_000);
    for (let response = 0; response < 60; response += 1) {
        sizes.recordResponse("pages", 1_000);
    }
    t.true(sizes.usualBytes("pages") < 1_100, `${sizes.usualBytes("pages")}`);
    t.is(sizes.usualBytes("calls"), 0);
});

// Guards against a table that grows with each change of the configuration.
test("the sizes of at most 512 routes are kept, those with the latest responses", (t) => {
    const sizes = ResponseSizes.create();
    sizes.recordResponse("first", 7);
    for (let route = 0; route < 511; route += 1) {
        sizes.recordResponse(`route-${route}`, 100);
    }
    sizes.recordResponse("first", 7);
    sizes.recordResponse("last", 100);
    t.is(sizes.count, 512);
    t.is(sizes.usualBytes("first"), 7);
    t.is(sizes.usualBytes("route-0"), 0);
});
