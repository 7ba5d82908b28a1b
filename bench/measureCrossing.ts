import { longestGapMs } from "./fleetModel/longestGapMs/index.js";
import { runFleetModel } from "./fleetModel/runFleetModel/index.js";
import { UNEVEN_SERVICES } from "./fleetModel/unevenServices.js";

/** Simulated time of a run, in ms. */
const RUN_MS = Number(process.argv[2] ?? 20_000);
const SEED = Number(process.argv[3] ?? 5);
/** Factor on the requests of all services. */
const LOAD = Number(process.argv[4] ?? 1);
/** Factor by which endpoints are slower while more than three quarters of their slots are busy. */
const FULL_SLOWNESS = Number(process.argv[5] ?? 1);
/** Time until all endpoints have been found, in ms. */
const WARM_UP_MS = 3_000;

const model = await runFleetModel({
    services: UNEVEN_SERVICES.map((service) => ({ ...service, requestsPerSecond: LOAD * service.requestsPerSecond, fullSlowness: FULL_SLOWNESS })),
    failureDomainCount: 3,
    controlCount: 5,
    oneWayDelayMs: 3,
    seed: SEED,
    arrivalSeed: SEED,
}, RUN_MS);
const { requests, answered, failures } = model.counts;
console.log(JSON.stringify({ requests, answered, failures }));
UNEVEN_SERVICES.forEach(({ name }) => {
    const times = [...model.latenciesOf(name)].sort((left, right) => left - right);
    console.log(name, times.length, "timely", model.timelyCount(name), "p50", times[Math.floor(times.length / 2)], "p99", times[Math.floor(times.length * 0.99)]);
});
[...model.crossBytes].sort(([left], [right]) => left < right ? -1 : 1).forEach(([kind, total]) => {
    console.log(kind.padEnd(24), Math.round(total * 1_000 / RUN_MS), "bytes/s");
});
console.log("offers to other failure domains", JSON.stringify(Object.fromEntries(model.crossOffers)));
UNEVEN_SERVICES.forEach(({ name }) => {
    const gapsMs = model.backendsOf(name).map(({ arrivalsAtMs }) => longestGapMs(arrivalsAtMs, WARM_UP_MS, RUN_MS));
    console.log(name, "longest time of an endpoint without a request, ms:", Math.max(...gapsMs));
});
