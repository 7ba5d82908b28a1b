import { createConfiguration, createRoute } from "../../lib-2/fleet.mjs";
import { runCase } from "../../lib-2/runCase.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ROUTE = { name: "r", host: "a.example", prefix: "/r/", kind: "unsafe", service: "alpha" };

await runCase(import.meta.url, { controls: 3, tolerated: 1, proxies: ["alpha"] }, async (fleet) => {
    await fleet.callOperator("PATCH", createConfiguration(["alpha"], [ROUTE], 9));
    const route = HAS_TROUBLE ? { ...ROUTE, service: "nowhere" } : ROUTE;
    const answer = await fleet.callOperator("PATCH", { upsert: { resources: [createRoute(route, 3)] }, remove: { routes: [] } });
    return HAS_TROUBLE ? answer?.status === 200 : answer?.status !== 200;
});
