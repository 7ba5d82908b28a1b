import test from "ava";
import { readMemoryUsage } from "./index.js";

test("the memory of the process counts buffers outside of the heap", (t) => {
    const before = readMemoryUsage();
    const buffer = Buffer.alloc(50_000_000, 1);
    const after = readMemoryUsage();
    t.true(after.externalBytes - before.externalBytes >= buffer.length);
    t.true((after.residentBytes ?? 0) > 0 && after.heapUsedBytes > 0 && after.heapUsedBytes < after.heapLimitBytes);
});

// Guards against a process that ends because it reads its memory: that takes a descriptor, and there may be none.
test("the memory is read also while the size that the kernel counts cannot be", (t) => {
    const usage = readMemoryUsage(() => {
        throw new Error("EMFILE: too many open files, uv_resident_set_memory");
    });
    t.is(usage.residentBytes, undefined);
    t.true(usage.heapUsedBytes > 0);
});
