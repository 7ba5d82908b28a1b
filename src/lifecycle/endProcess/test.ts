import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { endProcess } from "./index.js";

/** Ends a process whose file requests are done after a time; returns how it was ended. */
async function endAfter(requests: readonly string[], doneAfterMs: number): Promise<readonly string[]> {
    const calls: string[] = [];
    let isDone = false;
    void delay(doneAfterMs, undefined, { ref: false }).then(() => {
        isDone = true;
    });
    await endProcess(3, {
        pid: 7,
        getActiveResourcesInfo: () => isDone ? ["Timeout"] : ["Timeout", ...requests],
        exit: (code) => calls.push(`exit ${code}`),
        kill: (pid, signal) => calls.push(`kill ${pid} ${signal}`),
    });
    return calls;
}

test("a process exits once the last lines are written", async (t) => {
    t.deepEqual(await endAfter([], 0), ["exit 3"]);
    t.deepEqual(await endAfter(["FSReqCallback"], 300), ["exit 3"]);
});

// Guards against a process that stays for ever after its stop.
test("a process whose disk hangs or whose log nobody reads kills itself, since its exit would wait for them", async (t) => {
    t.deepEqual(await endAfter(["FSReqPromise"], 60_000), ["kill 7 SIGKILL"]);
    t.deepEqual(await endAfter(["FSReqCallback"], 60_000), ["kill 7 SIGKILL"]);
});
