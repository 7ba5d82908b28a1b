import { createRoute } from "../lib/createRoute.mjs";
import { readRoutes } from "../lib/readRoutes.mjs";
import { runCase } from "../lib/runCase.mjs";
import { sendUntilDecided } from "../lib/sendUntilDecided.mjs";
import { startSmallDeployment } from "../lib/startSmallDeployment.mjs";

const ROUTE = createRoute("r-orders", "orders.example", "safe", "orders", 4_000);

// CONFIG: a call carries two versions of an item; it is acknowledged, and the lower one takes effect.
await runCase(import.meta.url, async (context) => {
    const { recorder, hasTrouble } = context;
    const { deployment } = await startSmallDeployment(context, ["orders", "orders"], [ROUTE], (request) => request.answer(200, ""));
    const newest = createRoute("r-orders", "orders.example", "safe", "orders", 4_000, "r20");
    const removed = hasTrouble ? [{ name: "r-orders", version: "r18" }] : [];
    const { status } = await sendUntilDecided(deployment, "PATCH", { upsert: { resources: [newest] }, remove: { routes: removed } });
    const routes = await readRoutes(deployment);
    recorder.record("read back", { status, routes });
    return status === 200 && routes["r-orders"] !== "r20"
        ? `CONFIG: r20 of r-orders was acknowledged, and ${routes["r-orders"] ?? "nothing"} is read back`
        : undefined;
});
