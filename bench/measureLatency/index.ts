import { setTimeout as delay } from "node:timers/promises";
import { LocalFleet } from "../LocalFleet/index.js";
import { percentile } from "../percentile/index.js";
import { LatencyReport } from "../LatencyReport.js";
import { TimedRequest } from "../TimedRequest.js";
import { sendTimedRequest } from "../sendTimedRequest/index.js";

const LOOKUP_COUNT = 5_000;
const RATE_PER_SECOND = 200;
const BLOCK_SIZE = 500;
const WARM_UP_REQUESTS = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Measures the latency that the fleet adds to a lookup. Sends the same lookups directly and through an entry and a gate
 * in separate processes, in alternating blocks of one run, open loop at a fixed rate.
 *
 * @returns Quantiles of the direct, proxied and added latency, in ms.
 * @example
 * (await runLatency()).addedP99Ms;
 */
export async function measureLatency(): Promise<LatencyReport> {
    const fleet = await LocalFleet.create({
        manifestFile: "examples/muscat/manifest.toml",
        failureDomains: ["mutrah", "ruwi", "seeb"],
        standIns: ["lookup-front", "submissions-desk", "archive"].map((service) => ({ service, serviceMs: 2, bytesPerMs: 0 })),
    });
    try {
        const [backend, entry] = fleet.nodes;
        const direct: TimedRequest = { address: backend?.standInAddress ?? "", method: "GET", path: "/lookup/kitab" };
        const proxied: TimedRequest = { ...direct, address: entry?.callerAddress ?? "" };
        await sendBlock(direct, WARM_UP_REQUESTS);
        await sendBlock(proxied, WARM_UP_REQUESTS);
        const directMs: number[] = [];
        const proxiedMs: number[] = [];
        for (let sent = 0; sent < LOOKUP_COUNT; sent += BLOCK_SIZE) {
            directMs.push(...await sendBlock(direct, BLOCK_SIZE));
            proxiedMs.push(...await sendBlock(proxied, BLOCK_SIZE));
        }
        return summarize(directMs, proxiedMs);
    }
    finally {
        await fleet.stop();
    }
}

async function sendBlock(request: TimedRequest, count: number): Promise<readonly number[]> {
    const startedAtMs = performance.now();
    const durations: Promise<number>[] = [];
    for (let index = 0; index < count; index += 1) {
        const dueAtMs = startedAtMs + index * MS_PER_SECOND / RATE_PER_SECOND;
        await delay(Math.max(0, dueAtMs - performance.now()));
        durations.push(sendTimedRequest(request).then((response) => {
            if (response.status !== 200) {
                throw new Error(`expected status 200, received ${response.status}`);
            }
            return response.durationMs;
        }));
    }
    return Promise.all(durations);
}

function summarize(directMs: readonly number[], proxiedMs: readonly number[]): LatencyReport {
    const roundedPercentile = (samples: readonly number[], share: number): number => Number(percentile(samples, share).toFixed(3));
    return {
        lookups: proxiedMs.length,
        ratePerSecond: RATE_PER_SECOND,
        directP50Ms: roundedPercentile(directMs, 0.5),
        directP99Ms: roundedPercentile(directMs, 0.99),
        proxiedP50Ms: roundedPercentile(proxiedMs, 0.5),
        proxiedP99Ms: roundedPercentile(proxiedMs, 0.99),
        addedP50Ms: Number((roundedPercentile(proxiedMs, 0.5) - roundedPercentile(directMs, 0.5)).toFixed(3)),
        addedP99Ms: Number((roundedPercentile(proxiedMs, 0.99) - roundedPercentile(directMs, 0.99)).toFixed(3)),
    };
}
