import { setTimeout as delay } from "node:timers/promises";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { DaemonStatus } from "../../../src/operators/DaemonStatus.js";
import { FleetNode } from "../../FleetNode.js";
import { LocalFleet } from "../../LocalFleet/index.js";
import { percentile } from "../../percentile/index.js";
import { fitLine } from "../fitLine/index.js";
import { FleetCosts } from "../FleetCosts.js";
import { Slope } from "../Slope.js";

const SIZES = [8, 16, 32, 60];
const IDLE_MEASUREMENT_MS = 15_000;
const STABILIZATION_MS = 8_000;
const CHANGES = 50;
const RESTARTS_AT_CHANGES = [10, 25, 40];
const POLL_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 30_000;

/**
 * Measures the costs of idle fleets of separate processes, and the time until a configuration change is in force.
 *
 * @returns Slopes over the number of proxies, and the costs of the largest fleet.
 * @example
 * (await measureFleet()).inForceMedianMs;
 */
export async function measureFleet(): Promise<{ readonly slopes: readonly Slope[]; readonly spread: FleetCosts }> {
    const costs: FleetCosts[] = [];
    for (const size of SIZES) {
        costs.push(await measureSize(size));
    }
    const largest = costs.at(-1);
    if (largest === undefined) {
        throw new Error("no sizes to measure");
    }
    const slope = (name: string, unit: string, read: (cost: FleetCosts) => number): Slope =>
        fitLine(name, "proxies", unit, costs.map((cost) => ({ size: cost.proxies, value: read(cost) })));
    return {
        slopes: [
            slope("proxy at rest, bytes sent and received on links", "bytes/s", (cost) => cost.proxyBytesPerSecond),
            slope("proxy at rest, processor", "ms/s", (cost) => cost.proxyProcessorMsPerSecond),
            slope("proxy at rest, resident memory", "bytes", (cost) => cost.proxyMemoryBytes),
            slope("control at rest, bytes sent and received on links", "bytes/s", (cost) => cost.controlBytesPerSecond),
            slope("control at rest, processor", "ms/s", (cost) => cost.controlProcessorMsPerSecond),
            slope("open links of a proxy, mean", "links", (cost) => cost.meanLinks),
            slope("a change in force on all proxies, worst", "ms", (cost) => cost.inForceWorstMs),
        ],
        spread: largest,
    };
}

async function measureSize(proxies: number): Promise<FleetCosts> {
    const folder = mkdtempSync(join(tmpdir(), "gypsumpulley-slopes-"));
    const fleet = await LocalFleet.create({
        manifestFile: "examples/bajio/manifest.toml",
        failureDomains: ["leon", "celaya", "queretaro"],
        standIns: [],
        bareProxyCount: proxies,
    });
    try {
        await fleet.waitUntil("every proxy knows every other", async () => {
            const statuses = await readAll(fleet);
            return statuses.every((status) => status?.members.length === proxies + 1 && status.configuration.manifestVersion === 1);
        });
        await delay(STABILIZATION_MS);
        const idle = await measureIdle(fleet, proxies);
        const times = await measureChanges(fleet, folder);
        return { ...idle, inForceMedianMs: percentile(times, 0.5), inForceWorstMs: Math.max(...times), changes: times.length };
    }
    finally {
        await fleet.kill();
        rmSync(folder, { recursive: true, force: true });
    }
}

async function measureIdle(fleet: LocalFleet, proxies: number): Promise<Omit<FleetCosts, "inForceMedianMs" | "inForceWorstMs" | "changes">> {
    const before = await readAll(fleet);
    const controlBefore = await fleet.fetchStatus(fleet.controlOperatorAddress);
    await delay(IDLE_MEASUREMENT_MS);
    const after = await readAll(fleet);
    const controlAfter = await fleet.fetchStatus(fleet.controlOperatorAddress);
    const seconds = IDLE_MEASUREMENT_MS / 1_000;
    const mean = (read: (status: DaemonStatus) => number): number =>
        after.reduce((sum, status) => sum + (status === undefined ? 0 : read(status)), 0) / proxies;
    const meanRate = (read: (status: DaemonStatus) => number): number =>
        after.reduce((sum, status, index) => sum + rate(before[index], status, read), 0) / proxies / seconds;
    return {
        proxies,
        proxyBytesPerSecond: meanRate(linkBytes),
        proxyProcessorMsPerSecond: meanRate((status) => status.processorMs),
        proxyMemoryBytes: mean((status) => status.memoryBytes),
        controlBytesPerSecond: rate(controlBefore, controlAfter, linkBytes) / seconds,
        controlProcessorMsPerSecond: rate(controlBefore, controlAfter, (status) => status.processorMs) / seconds,
        meanLinks: mean((status) => status.links.length),
    };
}

async function measureChanges(fleet: LocalFleet, folder: string): Promise<readonly number[]> {
    const file = join(folder, "manifest.toml");
    const base = readFileSync("examples/bajio/manifest.toml", "utf8");
    const times: number[] = [];
    for (let change = 1; change <= CHANGES; change += 1) {
        const restarted = RESTARTS_AT_CHANGES.includes(change) ? fleet.nodes[change] : undefined;
        await restarted?.proxy.stop("SIGKILL");
        writeFileSync(file, base.replace("requestsPerSecond = 300", `requestsPerSecond = ${300 + change}`));
        const version = await fleet.applyManifest(file);
        const acceptedAtMs = performance.now();
        if (restarted !== undefined) {
            fleet.startProxy(restarted);
        }
        const inForceMs = await Promise.all(fleet.nodes.map((node) => waitForVersion(fleet, node, version, acceptedAtMs)));
        times.push(...inForceMs.filter((_, index) => fleet.nodes[index] !== restarted));
    }
    return times;
}

async function waitForVersion(fleet: LocalFleet, node: FleetNode, version: number, sinceMs: number): Promise<number> {
    while (performance.now() - sinceMs < WAIT_TIMEOUT_MS) {
        const status = await fleet.fetchStatus(node.operatorAddress);
        if (status !== undefined && status.configuration.manifestVersion >= version) {
            return performance.now() - sinceMs;
        }
        await delay(POLL_INTERVAL_MS);
    }
    return Number.POSITIVE_INFINITY;
}

function readAll(fleet: LocalFleet): Promise<readonly (DaemonStatus | undefined)[]> {
    return Promise.all(fleet.nodes.map((node) => fleet.fetchStatus(node.operatorAddress)));
}

function linkBytes(status: DaemonStatus): number {
    return status.linkBytes.sent + status.linkBytes.received;
}

function rate(before: DaemonStatus | undefined, after: DaemonStatus | undefined, read: (status: DaemonStatus) => number): number {
    return before === undefined || after === undefined ? Number.NaN : read(after) - read(before);
}
