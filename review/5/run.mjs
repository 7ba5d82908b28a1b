/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { setTimeout as delay } from "node:timers/promises";
import { createRoute } from "../lib/createRoute.mjs";
import { runCase } from "../lib/runCase.mjs";
import { sendJson } from "../lib/sendJson.mjs";
import { sendTraffic } from "../lib/sendTraffic.mjs";
import { startSmallDeployment } from "../lib/startSmallDeployment.mjs";

const HOST = "orders.example";
const SERVICES = ["catalog", "orders", "orders"];
const WORK_MS = 50;
const DEADLINE_MS = 4_000;
const TRAFFIC = { perSecond: 20, durationMs: 8_000 };
const FOREIGN_AFTER_MS = 1_000;
const FOREIGN_ID = "i-other-writer";
/** Service that no page, setting or configuration of this deployment names. */
const FOREIGN_SERVICE = "not-of-this-deployment";

await runCase(import.meta.url, async (context) => {
    const { recorder, hasTrouble } = context;
    const callers = [];
    const handle = (request) => {
        callers.push({ attempt: request.attempt, caller: request.headers["caller-service"], atMs: recorder.elapsedMs });
        setTimeout(() => request.answer(200, "order placed"), WORK_MS);
    };
    const routes = [createRoute("r-orders", HOST, "unsafe", "orders", DEADLINE_MS)];
    const { deployment } = await startSmallDeployment(context, SERVICES, routes, handle);
    const addresses = deployment.proxyAddresses(0);
    const traffic = sendTraffic(recorder, {
        ...TRAFFIC,
        create: (n) => ({ address: addresses.outbound, method: "POST", host: HOST, path: "/orders/", body: `order ${n}`, deadlineMs: DEADLINE_MS }),
    });
    await delay(FOREIGN_AFTER_MS);
    if (hasTrouble) {
        await sendForeignCheckIn(recorder, addresses);
    }
    const answers = await traffic;
    const wrong = callers.filter(({ caller }) => caller !== SERVICES[0]);
    recorder.record("result", { requests: answers.length, runs: callers.length, wrongCaller: wrong.length, wrong: wrong.map(({ attempt }) => attempt) });
    if (callers.length < answers.length / 2) {
        throw new Error(`only ${callers.length} of ${answers.length} requests ran`);
    }
    const [first, last] = [wrong[0], wrong.at(-1)];
    return first === undefined || last === undefined
        ? undefined
        : `UNASKED: ${wrong.length} of ${callers.length} requests of the machine of "${SERVICES[0]}" ran with Caller-Service "${first.caller}", `
            + `for ${last.atMs - first.atMs} ms (first attempt ${first.attempt})`;
});

/** Sends a check-in of another writer, which names a service that the deployment doesn't know. */
async function sendForeignCheckIn(recorder, { app, control }) {
    const body = {
        address: app,
        born: Date.now(),
        info: { service: FOREIGN_SERVICE, zone: "zone-a", version: "v1", slots: 5 },
        status: { state: "ready", seq_no: 1, cold_remaining: "0ms" },
    };
    const reply = await sendJson(control, "PUT", `/instances/${FOREIGN_ID}`, body);
    recorder.record("foreign check-in", { id: FOREIGN_ID, service: FOREIGN_SERVICE, status: reply?.status });
}
