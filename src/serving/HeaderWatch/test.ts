import test from "ava";
import { measureHeldBytes } from "../../../test/fixtures/measureHeldBytes.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { HeaderWatch } from "./index.js";

test("a header field that nothing reads is logged once, so that new statements of backend servers do not go unnoticed", (t) => {
    const lines: string[] = [];
    const events = EventLog.createUnfiltered("vm-1", (line) => lines.push(line), () => undefined);
    const watch = HeaderWatch.create((name) => name === "date", events);
    watch.observe([["Date", "today"], ["Server-Mood", "bad"]]);
    watch.observe([["Server-Mood", "good"]]);
    t.is(lines.length, 1);
    t.like(JSON.parse(lines[0] ?? ""), { name: "HeaderUnknown", header: "server-mood" });
});

test("the number of remembered header fields is bounded", (t) => {
    const lines: string[] = [];
    const events = EventLog.createUnfiltered("vm-1", (line) => lines.push(line), () => undefined);
    const watch = HeaderWatch.create(() => false, events);
    watch.observe(Array.from({ length: 1_000 }, (_, index) => [`X-${index}`, ""]));
    t.is(lines.length, 256);
});

// Guards against names that keep the line that they were read from, or are as long as a header section.
test("remembered names take little memory, however long the lines were", (t) => {
    const lines: string[] = [];
    const heldBytes = measureHeldBytes(() => {
        const watch = HeaderWatch.create(() => false, EventLog.createUnfiltered("vm-1", (line) => lines.push(line), () => undefined));
        for (let index = 0; index < 128; index += 1) {
            const line = Buffer.from(`x-unusual-name-${index}: ${"v".repeat(50_000)}`).toString("latin1");
            watch.observe([[line.slice(0, line.indexOf(":")), ""], [`y-${index}-${"n".repeat(50_000)}`, ""]]);
        }
        return watch;
    });
    t.is(lines.length, 256);
    t.true(lines.every((line) => line.length < 400));
    t.true(heldBytes < 1_000_000, `${heldBytes} bytes`);
});
