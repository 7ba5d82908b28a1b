import test from "ava";
import { readMemoryUsage } from "./index.js";

test("the memory of the process counts buffers outside of the heap", (t) => {
    const before = readMemoryUsage();
    const buffer = Buffer.alloc(50_000_000, 1);
    const after = readMemoryUsage();
    t.true(after.externalBytes - before.externalBytes >= buffer.length);
    t.true(after.residentBytes > 0 && after.heapUsedBytes > 0 && after.heapUsedBytes < after.heapLimitBytes);
});
