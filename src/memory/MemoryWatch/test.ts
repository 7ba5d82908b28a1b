import test from "ava";
import FakeTimers from "@sinonjs/fake-timers";
import { MemoryUsage } from "../MemoryUsage.js";
import { MemoryWatch } from "./index.js";

const CALM: MemoryUsage = { heapUsedBytes: 30e6, heapLimitBytes: 120e6, externalBytes: 5e6, residentBytes: 70e6 };

for (const [description, high] of [
    ["the heap is nearly full", { ...CALM, heapUsedBytes: 100e6 }],
    ["buffers take much memory", { ...CALM, externalBytes: 200e6 }],
] as const) {
    test.serial(`while ${description}, it is reported at most every five seconds`, (t) => {
        const clock = FakeTimers.install();
        let usage = CALM;
        const reports: MemoryUsage[] = [];
        MemoryWatch.create(() => usage, (reported) => reports.push(reported));
        clock.tick(10_000);
        t.deepEqual(reports, []);
        usage = high;
        clock.tick(11_000);
        t.is(reports.length, 3);
        t.deepEqual(reports[0], high);
        usage = CALM;
        clock.tick(10_000);
        t.is(reports.length, 3);
        clock.uninstall();
    });
}
