import test, { type ExecutionContext } from "ava";
import { longestGapMs } from "../bench/fleetModel/longestGapMs/index.js";
import { ModelService } from "../bench/fleetModel/ModelService.js";
import { runFleetModel } from "../bench/fleetModel/runFleetModel/index.js";

/** Time within which a healthy endpoint must get a request, in ms. */
const STARVATION_LIMIT_MS = 2_000;
/** Time from which gaps count, in ms: by then the first requests have been answered. */
const WARM_UP_MS = 4_000;
const RUN_MS = 16_000;

async function findStarved(t: ExecutionContext, services: readonly ModelService[], failureDomainCount: number, seed: number): Promise<void> {
    const model = await runFleetModel({ services, failureDomainCount, controlCount: 5, oneWayDelayMs: 1, seed }, RUN_MS);
    const { requests, failures } = model.counts;
    t.log(`${requests} requests, ${failures} failed`);
    for (const { name } of services) {
        const gapsMs = model.backendsOf(name)
            .map(({ arrivalsAtMs }) => longestGapMs(arrivalsAtMs, WARM_UP_MS, RUN_MS))
            .sort((left, right) => right - left);
        const starved = gapsMs.filter((gapMs) => gapMs > STARVATION_LIMIT_MS).length;
        t.is(starved, 0, `${starved} of ${gapsMs.length} endpoints of ${name} went without a request for up to ${gapsMs[0]} ms`);
    }
}

test.serial("no endpoint of a large fleet goes without requests for 2 s while a third of the endpoints fail in turn", async (t) => {
    await findStarved(t, [
        { name: "lookup", endpointCount: 80, slots: 8, requestsPerSecond: 200, repeatableShare: 0.4, workMs: 1_333, failingShare: 0.3 },
        { name: "desk", endpointCount: 132, slots: 8, requestsPerSecond: 300, repeatableShare: 0.3, workMs: 900, failingShare: 0.3 },
        { name: "archive", endpointCount: 23, slots: 8, requestsPerSecond: 250, repeatableShare: 1, workMs: 350, failingShare: 0.3 },
    ], 5, 1);
});

test.serial("no endpoint of a fleet of 96 VMs goes without requests for 2 s while a third of the endpoints fail in turn", async (t) => {
    await findStarved(t, [
        { name: "catalogue", endpointCount: 40, slots: 6, requestsPerSecond: 100, repeatableShare: 0.7, workMs: 850, failingShare: 0.3 },
        { name: "orders", endpointCount: 46, slots: 6, requestsPerSecond: 150, repeatableShare: 0.3, workMs: 550, failingShare: 0.3 },
        { name: "drawings", endpointCount: 10, slots: 6, requestsPerSecond: 70, repeatableShare: 1, workMs: 300, failingShare: 0.3 },
    ], 4, 1);
});

test.serial("no endpoint of a small fleet goes without requests for 2 s while a third of the endpoints fail in turn", async (t) => {
    await findStarved(t, [
        { name: "lookup", endpointCount: 9, slots: 5, requestsPerSecond: 25, repeatableShare: 0.6, workMs: 580, failingShare: 0.3 },
        { name: "desk", endpointCount: 18, slots: 5, requestsPerSecond: 50, repeatableShare: 0.3, workMs: 380, failingShare: 0.3 },
        { name: "archive", endpointCount: 6, slots: 5, requestsPerSecond: 40, repeatableShare: 1, workMs: 150, failingShare: 0.3 },
    ], 3, 1);
});

test.serial("no endpoint goes without requests for 2 s although its requests run for most of that time", async (t) => {
    await findStarved(t, [
        { name: "lookup", endpointCount: 80, slots: 8, requestsPerSecond: 81, repeatableShare: 1, workMs: 1_333, failingShare: 0 },
    ], 5, 1);
});
