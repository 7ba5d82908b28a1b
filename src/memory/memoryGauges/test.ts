import test from "ava";
import { memoryGauges } from "./index.js";

test("each gauge of the memory reads a number of bytes", (t) => {
    const gauges = memoryGauges();
    t.deepEqual(gauges.map(({ name }) => name), ["heap_used_bytes", "heap_limit_bytes", "external_bytes", "resident_bytes"]);
    t.true(gauges.every(({ read }) => read() > 0));
});
