import test, { type ExecutionContext } from "ava";
import { FleetModel } from "../bench/fleetModel/FleetModel/index.js";
import { maxCountIn } from "../bench/fleetModel/maxCountIn/index.js";
import { ModelService } from "../bench/fleetModel/ModelService.js";
import { runFleetModel } from "../bench/fleetModel/runFleetModel/index.js";

/** Time from which requests count, in ms: the endpoints have named their limit by then. */
const WARM_UP_MS = 3_000;
const WINDOW_MS = 4_000;
const RUN_MS = 16_000;
const RESTART_INTERVAL_MS = 700;
const MS_PER_S = 1_000;

/** Orders run at 12 endpoints, 8 of which name a limit of about half of what they get. */
const ORDERS: ModelService = {
    name: "orders",
    endpointCount: 12,
    slots: 5,
    requestsPerSecond: 70,
    repeatableShare: 0.4,
    workMs: 330,
    failingShare: 0.1,
    limit: { endpointCount: 8, perSecond: 3 },
};
/** Most endpoints name the lowest limit, and the other ones cannot do all the work. */
const OVERLOADED: ModelService = { ...ORDERS, requestsPerSecond: 90, limit: { endpointCount: 9, perSecond: 1 } };

function run(service: ModelService, seed: number, onStep?: (model: FleetModel, atMs: number) => void): Promise<FleetModel> {
    return runFleetModel({ services: [service], failureDomainCount: 3, controlCount: 5, oneWayDelayMs: 1, seed }, RUN_MS, onStep);
}

function assertWithinLimits(t: ExecutionContext, model: FleetModel, { name, limit }: ModelService): void {
    const perSecond = limit?.perSecond ?? 0;
    const allowed = Math.floor(perSecond * WINDOW_MS / MS_PER_S + Math.max(1, perSecond));
    const limited = model.backendsOf(name).slice(0, limit?.endpointCount);
    const counts = limited.map(({ arrivalsAtMs }) => maxCountIn(arrivalsAtMs, WINDOW_MS, WARM_UP_MS));
    t.log(`at most ${counts.join(", ")} requests in ${WINDOW_MS} ms, ${allowed} allowed; ${JSON.stringify(model.counts)}`);
    t.true(counts.every((count) => count <= allowed));
}

for (const [description, service] of [["", ORDERS], [" while the others are overloaded", OVERLOADED]] as const) {
    test.serial(`endpoints that name a limit get no more requests than that from all entries together${description}`, async (t) => {
        assertWithinLimits(t, await run(service, 1), service);
    });
}

test.serial("a gate that restarts again and again does not forget the limit that entries know", async (t) => {
    const model = await run(ORDERS, 1, (running, atMs) => {
        if (atMs > WARM_UP_MS && atMs % RESTART_INTERVAL_MS === 0) {
            running.restartGates(ORDERS.name);
        }
    });
    assertWithinLimits(t, model, ORDERS);
});

test.serial("what slots and limits together allow is used when there are more requests than that", async (t) => {
    const { counts } = await run(OVERLOADED, 1);
    const { endpointCount, slots, workMs, limit = { endpointCount: 0, perSecond: 0 } } = OVERLOADED;
    const perSecond = limit.endpointCount * limit.perSecond + (endpointCount - limit.endpointCount) * slots * MS_PER_S / workMs;
    const capacity = Math.round(perSecond * RUN_MS / MS_PER_S);
    t.log(`${counts.answered - counts.failures} served, ${capacity} possible`);
    t.true(counts.answered - counts.failures > 0.8 * capacity);
});
