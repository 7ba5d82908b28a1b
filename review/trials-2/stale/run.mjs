/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { setTimeout as delay } from "node:timers/promises";
import { createConfiguration, createRoute } from "../../lib-2/fleet.mjs";
import { runCase, sendContinuously } from "../../lib-2/runCase.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ROUTES = 180;
/** Changes of the days before; "a day may contain hundreds". */
const CHANGES = 290;
const LATE = { name: "r-late", host: "late.example", prefix: "/late/", kind: "safe", service: "alpha" };
const REQUEST = { path: "/late/w20/s100/", host: LATE.host, deadlineMs: 3_000 };
const CLIENTS_PER_MACHINE = 20;
/** The rule DENIED allows ten such answers of machines out of touch. */
const ALLOWED_DENIED = 10;
const STATUS_NOT_FOUND = 404;
const OPTIONS = { controls: 5, tolerated: 2, proxies: ["alpha", "alpha"], endpoint: { slots: 40 } };

/** The routes of the configuration; each change sets their timeouts anew. */
function createRoutes(version) {
    return Array.from({ length: ROUTES }, (_value, index) => ({
        name: `r-${index}`,
        host: `h${index % 20}.example`,
        prefix: `/route-${index}/`,
        kind: "safe",
        service: "alpha",
        timeout: `${5_000 + (version * 7 + index) % 900}ms`,
    }));
}

await runCase(import.meta.url, OPTIONS, async (fleet) => {
    await fleet.callOperator("PATCH", createConfiguration(["alpha"], createRoutes(1)));
    await fleet.waitUntilReady();
    const statuses = new Set();
    for (let version = 2; version <= CHANGES; version += 1) {
        const resources = createRoutes(version).map((route) => createRoute(route, version));
        const answer = await fleet.callOperator("PATCH", { upsert: { resources }, remove: { routes: [] } });
        statuses.add(answer?.status);
    }
    const last = await fleet.callOperator("PATCH", { upsert: { resources: [createRoute(LATE, CHANGES + 1)] }, remove: { routes: [] } });
    if (last?.status !== 200 || statuses.size !== 1) {
        return undefined;
    }
    await delay(3_000);

    // From here on there is one configuration only. All of it was acknowledged seconds ago, and it allows the requests.
    fleet.record("the day begins");
    const results = [];
    let isOver = false;
    const clients = fleet.proxyNames.flatMap((name) => Array.from({ length: CLIENTS_PER_MACHINE }, (_value, client) =>
        sendContinuously(fleet, name, `c${client}`, REQUEST, 20, results, () => isOver)));
    await delay(3_000);
    if (HAS_TROUBLE) {
        const names = [...fleet.controlNames, ...fleet.proxyNames];
        await Promise.all(names.map((name) => fleet.signal(name, "SIGKILL")));
        await delay(700);
        names.forEach((name) => fleet.start(name));
    }
    await delay(8_000);
    isOver = true;
    await Promise.all(clients);
    const denied = results.filter(({ status }) => status === STATUS_NOT_FOUND);
    const answered = results.filter(({ status }) => status === 200);
    const times = denied.map(({ endedAtMs }) => endedAtMs);
    fleet.record(`requests: ${results.length}, answered by a server: ${answered.length}, 404: ${denied.length}`);
    fleet.record(denied.length === 0 ? "no 404" : `404 from ${Math.min(...times)} to ${Math.max(...times)}`);
    return answered.length > 100 ? denied.length > ALLOWED_DENIED : undefined;
});
