import test from "ava";
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
