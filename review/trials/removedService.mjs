import { createRoute } from "../lib/createRoute.mjs";
import { createService } from "../lib/createService.mjs";
import { runCase } from "../lib/runCase.mjs";
import { sendUntilDecided } from "../lib/sendUntilDecided.mjs";
import { startSmallDeployment } from "../lib/startSmallDeployment.mjs";

const ROUTE = createRoute("r-orders", "orders.example", "safe", "orders", 4_000);

// CONFIG: the removal of a service that a route names is acknowledged, though the route then names an unknown service.
await runCase(import.meta.url, async (context) => {
    const { recorder, hasTrouble } = context;
    const { deployment } = await startSmallDeployment(context, ["orders", "orders"], [ROUTE], (request) => request.answer(200, ""));
    await sendUntilDecided(deployment, "PATCH", { upsert: { resources: [createService("unused")] } });
    const name = hasTrouble ? "orders" : "unused";
    const { status } = await sendUntilDecided(deployment, "PATCH", { remove: { services: [{ name, version: "r2" }] } });
    recorder.record("removal", { service: name, status });
    return hasTrouble && status === 200 ? "CONFIG: the removal of a service that a route names is acknowledged" : undefined;
});
