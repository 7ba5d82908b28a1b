import test from "ava";
import { compareUrgency } from "./index.js";

const CALL = { organisation: "", organisationPriority: 0, priority: 2 };
const URGENT = { organisation: "a", organisationPriority: 0, priority: 0 };
const LESS_URGENT = { organisation: "a", organisationPriority: 0, priority: 1 };
const LOWER = { organisation: "b", organisationPriority: 1, priority: 0 };

// Guards against new requests that start before the calls that running requests wait for.
test("calls without organisation come first, then the priority of the organisation, then that of the route", (t) => {
    const ordered = [LOWER, URGENT, CALL, LESS_URGENT].sort(compareUrgency);
    t.deepEqual(ordered, [CALL, URGENT, LESS_URGENT, LOWER]);
    t.is(compareUrgency(URGENT, { ...URGENT, organisation: "c" }), 0);
});
