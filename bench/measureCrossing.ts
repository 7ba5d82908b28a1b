import { runFleetModel } from "./fleetModel/runFleetModel/index.js";
import { ModelService } from "./fleetModel/ModelService.js";

/** Simulated time of a run, in ms. */
const RUN_MS = Number(process.argv[2] ?? 20_000);
const SEED = Number(process.argv[3] ?? 5);

const SERVICES: readonly ModelService[] = [
    {
        name: "desk",
        endpointCount: 7,
        endpointsByDomain: [4, 1, 2],
        slots: 8,
        requestsPerSecond: 26,
        repeatableShare: 0.3,
        workMs: 600,
        failingShare: 0,
        slowness: [1, 2, 1.5, 3, 1, 2, 1],
        demandSwing: 0.5,
        targetLatencyMs: 2_500,
        responseBytes: 2_000,
        shortShare: 0.3,
        bodyBytes: 500,
    },
    {
        name: "upload",
        endpointCount: 14,
        endpointsByDomain: [6, 3, 5],
        slots: 8,
        requestsPerSecond: 24,
        repeatableShare: 0,
        workMs: 1_250,
        failingShare: 0.05,
        slowness: [1, 1.5, 2],
        demandSwing: 0.5,
        targetLatencyMs: 4_000,
        responseBytes: 300,
        bodyBytes: 60_000,
    },
    {
        name: "pages",
        endpointCount: 30,
        slots: 8,
        requestsPerSecond: 110,
        repeatableShare: 1,
        workMs: 500,
        failingShare: 0.1,
        demandSwing: 0.5,
        targetLatencyMs: 2_000,
        responseBytes: 24_000,
    },
    {
        name: "calls",
        endpointCount: 49,
        slots: 8,
        requestsPerSecond: 200,
        repeatableShare: 0.6,
        workMs: 200,
        failingShare: 0.1,
        demandSwing: 0.5,
        targetLatencyMs: 1_000,
        responseBytes: 400,
    },
];

const model = await runFleetModel({
    services: SERVICES,
    failureDomainCount: 3,
    controlCount: 5,
    oneWayDelayMs: 3,
    seed: SEED,
    arrivalSeed: SEED,
}, RUN_MS);
const { requests, answered, failures } = model.counts;
console.log(JSON.stringify({ requests, answered, failures }));
SERVICES.forEach(({ name }) => {
    const times = [...model.latenciesOf(name)].sort((left, right) => left - right);
    console.log(name, times.length, "timely", model.timelyCount(name), "p50", times[Math.floor(times.length / 2)], "p99", times[Math.floor(times.length * 0.99)]);
});
[...model.crossBytes].sort(([left], [right]) => left < right ? -1 : 1).forEach(([kind, total]) => {
    console.log(kind.padEnd(24), Math.round(total * 1_000 / RUN_MS), "bytes/s");
});
console.log("offers to other failure domains", JSON.stringify(Object.fromEntries(model.crossOffers)));
