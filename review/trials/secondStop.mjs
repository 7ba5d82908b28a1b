/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { setTimeout as delay } from "node:timers/promises";
import { createRoute } from "../lib/createRoute.mjs";
import { runCase } from "../lib/runCase.mjs";
import { sendTraffic } from "../lib/sendTraffic.mjs";
import { startSmallDeployment } from "../lib/startSmallDeployment.mjs";

const HOST = "orders.example";
const SERVICES = ["orders", "orders", "orders"];
const WORK_MS = 800;
const DEADLINE_MS = 4_000;
const TRAFFIC = { perSecond: 8, durationMs: 2_000 };
const STOP_AFTER_MS = 1_000;
const SECOND_STOP_AFTER_MS = 500;

// LOST: requests that a proxy has passed on end without an answer when it gets a second SIGTERM within its grace period.
await runCase(import.meta.url, async (context) => {
    const { recorder, hasTrouble } = context;
    const running = new Set();
    const handle = (request) => {
        running.add(request.attempt);
        setTimeout(() => request.answer(200, "order placed"), WORK_MS);
    };
    const routes = [createRoute("r-orders", HOST, "unsafe", "orders", DEADLINE_MS)];
    const { deployment } = await startSmallDeployment(context, SERVICES, routes, handle);
    const { outbound } = deployment.proxyAddresses(0);
    const traffic = sendTraffic(recorder, {
        ...TRAFFIC,
        create: (n) => ({ address: outbound, method: "POST", host: HOST, path: "/orders/", body: `order ${n}`, deadlineMs: DEADLINE_MS }),
    });
    await delay(STOP_AFTER_MS);
    deployment.signal("proxy-0", "SIGTERM");
    if (hasTrouble) {
        await delay(SECOND_STOP_AFTER_MS);
        deployment.signal("proxy-0", "SIGTERM");
    }
    const cut = (await traffic).filter(({ attempt, end }) => running.has(attempt) && end !== "complete");
    return cut.length === 0 ? undefined : `LOST: ${cut.length} requests were passed on and ended without an answer`;
});
