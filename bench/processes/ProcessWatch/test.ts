import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { readProcess } from "../readProcess/index.js";
import { ProcessWatch } from "./index.js";

const IDLE_MS = 300;
const POLL_MS = 20;
const PROGRAMS: Readonly<Record<string, string>> = {
    "proxy-0": "for (;;) { }",
    "proxy-1": "const kept = Buffer.alloc(4e8, 1); setInterval(() => kept, 1000); console.log()",
    "control-0": "process.stdin.once('data', () => { globalThis.kept = Buffer.alloc(1.5e8, 1); console.log(); }); console.log()",
};

test("a process above its limit, one that keeps what an abuse took, and one that spins are found", async (t) => {
    const children = new Map(Object.entries(PROGRAMS).map(([name, text]): [string, ChildProcess] =>
        [name, spawn(process.execPath, ["-e", text], { stdio: ["pipe", "pipe", "inherit"] })]));
    try {
        const [spinner, holder, keeper] = [...children.values()];
        // Counts the processor time of the spinning process, so that other load on the machine does not hide it.
        const nowMs = (): number => readProcess(spinner!.pid!)!.processorMs;
        await Promise.all([once(holder!.stdout!, "data"), once(keeper!.stdout!, "data")]);
        const fleet = { proxyNames: ["proxy-0", "proxy-1"], controlNames: ["control-0"], pidOf: (name: string) => children.get(name)?.pid };
        const watch = ProcessWatch.create(fleet, [], nowMs);
        watch.recordStart();
        keeper!.stdin!.write("\n");
        await once(keeper!.stdout!, "data");
        watch.recordCalm();
        watch.recordIdle();
        const idleUntilMs = nowMs() + IDLE_MS;
        while (nowMs() < idleUntilMs) {
            await delay(POLL_MS);
        }
        watch.finish();
        const found = watch.violations.map((line) => line.split(" ").slice(0, 2).join(" ").replace(":", ""));
        t.deepEqual(found.sort(), ["MEMORY proxy-1", "MEMORY-KEPT control-0", "SPIN proxy-0"]);
    }
    finally {
        children.forEach((child) => child.kill("SIGKILL"));
    }
});
