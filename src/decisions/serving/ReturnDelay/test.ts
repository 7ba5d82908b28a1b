import test from "ava";
import { createServingRequest as request } from "../../../../test/fixtures/createServingRequest.js";
import { ReturnDelay } from "./index.js";

// Load: half of the requests of one urgency are refused. Guards against callers that return at once to a queue that others have filled.
test("a caller returns once there is room, and later the more requests of its urgency are refused", (t) => {
    const delay = ReturnDelay.create();
    const refused = request("1", "a");
    t.is(delay.estimateMs(refused, 200, 1_000, 0), 200);
    delay.recordAdmission(request("2", "b"), 0);
    delay.recordRefusal(refused, 0);
    t.is(delay.estimateMs(refused, 200, 1_000, 0), 700);
    t.is(delay.estimateMs(request("3", "a", { priority: 0 }), 200, 1_000, 0), 200);
});

test("refusals are forgotten with time against new admissions", (t) => {
    const delay = ReturnDelay.create();
    delay.recordRefusal(request("1", "a"), 0);
    t.is(delay.estimateMs(request("1", "a"), 200, 1_000, 0), 1_200);
    delay.recordAdmission(request("2", "a"), 30_000);
    t.true(delay.estimateMs(request("1", "a"), 200, 1_000, 30_000) < 205);
});
