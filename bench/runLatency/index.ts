import { setTimeout as delay } from "node:timers/promises";
import { LocalFleet } from "../LocalFleet/index.js";
import { percentile } from "../percentile/index.js";
import { LatencyReport } from "../LatencyReport.js";
import { TimedRequest } from "../TimedRequest.js";
import { timeRequest } from "../timeRequest/index.js";

const LOOKUPS = 5_000;
const RATE_PER_SECOND = 200;
const BLOCK = 500;
const WARM_UP = 1_000;
const MS_PER_SECOND = 1_000;

/**
 * Measures what the fleet adds to a lookup: the same lookups directly and through an entry and a gate in separate
 * processes, in alternating blocks of one run, at an open-loop rate.
 *
 * @returns Quantiles of both, in ms.
 * @example
 * (await runLatency()).addedP99Ms;
 */
export async function runLatency(): Promise<LatencyReport> {
    const fleet = await LocalFleet.create({
        manifestFile: "examples/muscat/manifest.toml",
        failureDomains: ["mutrah", "ruwi", "seeb"],
        standIns: ["lookup-front", "submissions-desk", "archive"].map((service) => ({ service, serviceMs: 2, bytesPerMs: 0 })),
    });
    try {
        const [backend, entry] = fleet.nodes;
        const direct: TimedRequest = { address: backend?.standInAddress ?? "", method: "GET", path: "/lookup/kitab" };
        const proxied: TimedRequest = { ...direct, address: entry?.callerAddress ?? "" };
        await sendBlock(direct, WARM_UP);
        await sendBlock(proxied, WARM_UP);
        const directMs: number[] = [];
        const proxiedMs: number[] = [];
        for (let sent = 0; sent < LOOKUPS; sent += BLOCK) {
            directMs.push(...await sendBlock(direct, BLOCK));
            proxiedMs.push(...await sendBlock(proxied, BLOCK));
        }
        return summarize(directMs, proxiedMs);
    }
    finally {
        await fleet.stop();
    }
}

async function sendBlock(request: TimedRequest, count: number): Promise<readonly number[]> {
    const startedAtMs = performance.now();
    const answers: Promise<number>[] = [];
    for (let index = 0; index < count; index += 1) {
        const dueAtMs = startedAtMs + index * MS_PER_SECOND / RATE_PER_SECOND;
        await delay(Math.max(0, dueAtMs - performance.now()));
        answers.push(timeRequest(request).then((answer) => {
            if (answer.status !== 200) {
                throw new Error(`status ${answer.status}`);
            }
            return answer.durationMs;
        }));
    }
    return Promise.all(answers);
}

function summarize(directMs: readonly number[], proxiedMs: readonly number[]): LatencyReport {
    const at = (samples: readonly number[], share: number): number => Number(percentile(samples, share).toFixed(3));
    return {
        lookups: proxiedMs.length,
        ratePerSecond: RATE_PER_SECOND,
        directP50Ms: at(directMs, 0.5),
        directP99Ms: at(directMs, 0.99),
        proxiedP50Ms: at(proxiedMs, 0.5),
        proxiedP99Ms: at(proxiedMs, 0.99),
        addedP50Ms: Number((at(proxiedMs, 0.5) - at(directMs, 0.5)).toFixed(3)),
        addedP99Ms: Number((at(proxiedMs, 0.99) - at(directMs, 0.99)).toFixed(3)),
    };
}
