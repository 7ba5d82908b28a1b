import { setTimeout as delay } from "node:timers/promises";
import { callJson, createConfiguration } from "../../lib-2/fleet.mjs";
import { runCase, sendContinuously } from "../../lib-2/runCase.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const REQUEST = { path: "/read/w100/s500/", host: "stone.example", deadlineMs: 3_000 };
const CLIENTS_PER_MACHINE = 4;
const DRAIN_MS = 2_000;
/** `contact`, twice that, after which all machines are in touch again: the fault took the whole core. */
const TOUCH_MS = 6_000;
/** Time for which the leaving server goes on after the ack, which "at times" is many seconds. */
const SERVES_ON_MS = 13_000;
const OPTIONS = { controls: 5, tolerated: 2, proxies: ["alpha", "alpha", "alpha"] };

await runCase(import.meta.url, OPTIONS, async (fleet, endpoints) => {
    const routes = [{ name: "r-read", host: REQUEST.host, prefix: "/read/", kind: "safe", service: "alpha" }];
    await fleet.callOperator("PATCH", createConfiguration(["alpha"], routes));
    await fleet.waitUntilReady();
    const results = [];
    let isOver = false;
    const clients = fleet.proxyNames.flatMap((name) => Array.from({ length: CLIENTS_PER_MACHINE }, (_value, client) =>
        sendContinuously(fleet, name, `c${client}`, REQUEST, 20, results, () => isOver)));
    await delay(4_000);

    // A server of the kind that never reports `draining`: it deletes itself first, goes on for a time, and ends.
    const [leaving] = endpoints;
    clearInterval(leaving.timer);
    leaving.sequence += 1;
    const lateReport = leaving.createReport();
    const deletion = await callJson(fleet.addressOf(leaving.name, "control"), "DELETE", `/instances/${leaving.id}`, undefined, 1_000);
    const ackAtMs = fleet.nowMs();
    fleet.record(`DELETE of ${leaving.id}: ${deletion?.status}`);
    if (deletion?.status !== 200) {
        return undefined;
    }
    await delay(500);
    if (HAS_TROUBLE) {
        const names = [...fleet.controlNames, ...fleet.proxyNames];
        await Promise.all(names.map((name) => fleet.signal(name, "SIGKILL")));
        await delay(700);
        names.forEach((name) => fleet.start(name));
    }
    const backAtMs = fleet.nowMs();
    await delay(1_500);

    // A check-in from before the deletion arrives late.
    const late = await callJson(fleet.addressOf(leaving.name, "control"), "PUT", `/instances/${leaving.id}`, lateReport, 1_000);
    fleet.record(`late check-in of ${leaving.id}: ${late?.status}`);
    await delay(ackAtMs + SERVES_ON_MS - fleet.nowMs());
    isOver = true;
    await Promise.all(clients);
    const judgedFromMs = Math.max(ackAtMs + DRAIN_MS, backAtMs + TOUCH_MS);
    const sentAtMs = new Map(results.map((result) => [result.id, result.sentAtMs]));
    const broken = leaving.runs.filter(({ id }) => (sentAtMs.get(id) ?? 0) > judgedFromMs);
    const answered = results.filter(({ status, sentAtMs: atMs }) => status === 200 && atMs > judgedFromMs);
    fleet.record(`acked at ${ackAtMs}, judged from ${judgedFromMs}: ${answered.length} requests sent later were answered`);
    fleet.record(`requests sent later that the server that had left has run: ${broken.length}`);
    return answered.length > 20 ? broken.length > 0 : undefined;
});
