import test from "ava";
import { EventLog } from "../../logs/EventLog/index.js";
import { MemoryUsage } from "../../memory/MemoryUsage.js";
import { EndReason } from "../EndReason.js";
import { EndingReporter } from "./index.js";

const USAGE: MemoryUsage = { heapUsedBytes: 1, heapLimitBytes: 2, externalBytes: 3, residentBytes: 4 };

test("the last line of a process names its reason, its memory and what it held", (t) => {
    const events = EventLog.create("vm-1", undefined);
    const reporter = EndingReporter.create(events, () => USAGE);
    reporter.setGauges([{ name: "callers", help: "", read: () => 7 }]);
    reporter.recordEnding(EndReason.UncaughtErrors, "no such file");
    reporter.recordEnding(EndReason.Stopped);
    const lines = events.find("ProcessEnding");
    t.is(lines.length, 1);
    t.like(lines[0], { reason: "uncaught-errors", problem: "no such file", ...USAGE, holders: ["callers=7"] });
});

test("a line about high memory names what is held", (t) => {
    const events = EventLog.create("vm-1", undefined);
    const reporter = EndingReporter.create(events, () => USAGE);
    reporter.setGauges([{ name: "queued", help: "", read: () => 3 }]);
    reporter.recordHighMemory(USAGE);
    t.like(events.find("MemoryHigh")[0], { ...USAGE, holders: ["queued=3"] });
});

// Guards against a process that ends without its last line.
test("a gauge that throws does not keep the last line from being written", (t) => {
    const events = EventLog.create("vm-1", undefined);
    const reporter = EndingReporter.create(events, () => USAGE);
    const read = (): number => {
        throw new Error("broken");
    };
    reporter.setGauges([{ name: "callers", help: "", read }, { name: "queued", help: "", read: () => 3 }]);
    reporter.recordEnding(EndReason.UncaughtErrors);
    t.like(events.find("ProcessEnding")[0], { holders: ["callers=(broken)", "queued=3"] });
});
