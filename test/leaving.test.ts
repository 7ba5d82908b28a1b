import test from "ava";
import { FleetModelOptions } from "../bench/fleetModel/FleetModelOptions.js";
import { ModelService } from "../bench/fleetModel/ModelService.js";
import { runFleetModel } from "../bench/fleetModel/runFleetModel/index.js";

/** Time within which an endpoint that leaves must get its last request from an entry, in ms. */
const DRAIN_MS = 2_000;
const RUN_MS = 12_000;
const LEAVING_AT_MS = 3_000;
const RESTART_INTERVAL_MS = 700;
const LEAVING_COUNT = 3;
const SERVICE: ModelService = {
    name: "orders",
    endpointCount: 12,
    slots: 5,
    requestsPerSecond: 70,
    repeatableShare: 0.4,
    workMs: 330,
    failingShare: 0.1,
};

const FLEET: FleetModelOptions = { services: [SERVICE], failureDomainCount: 3, controlCount: 5, oneWayDelayMs: 1, seed: 1 };

test.serial("an entry that has been told that an endpoint leaves sends it nothing after 2 s, although the gate forgets it in restarts", async (t) => {
    const model = await runFleetModel(FLEET, RUN_MS, (running, atMs) => {
        if (atMs === LEAVING_AT_MS) {
            running.backendsOf(SERVICE.name).slice(0, LEAVING_COUNT).forEach((backend) => {
                backend.isLeaving = true;
            });
        }
        if (atMs > LEAVING_AT_MS && atMs % RESTART_INTERVAL_MS === 0) {
            running.restartGates(SERVICE.name);
        }
    });
    for (const { arrivalsAtMs, arrivedFrom, toldLeavingAtMs } of model.backendsOf(SERVICE.name).slice(0, LEAVING_COUNT)) {
        const toldAtMs = arrivedFrom.map((entry) => toldLeavingAtMs.get(entry) ?? Number.POSITIVE_INFINITY);
        const late = arrivalsAtMs.filter((atMs, index) => atMs > (toldAtMs[index] ?? 0) + DRAIN_MS);
        t.log(`${toldLeavingAtMs.size} entries told, ${late.length} of ${arrivalsAtMs.length} requests late`);
        t.is(late.length, 0);
    }
});
