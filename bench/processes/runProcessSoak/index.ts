import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { createRandom } from "../../soak/createRandom/index.js";
import { callUntilDecided } from "../callUntilDecided/index.js";
import { createConfigurationChange } from "../createConfigurationChange/index.js";
import { EndpointServer } from "../EndpointServer/index.js";
import { FaultSource } from "../FaultSource/index.js";
import { findViolations } from "../findViolations/index.js";
import { ProcessFleet } from "../ProcessFleet/index.js";
import { ProcessSoakOptions } from "../ProcessSoakOptions.js";
import { ProcessSoakReport } from "../ProcessSoakReport.js";
import { RunRecord } from "../RunRecord.js";
import { TrafficSource } from "../TrafficSource/index.js";

const GRACE_MS = 6_000;
/** Time for which callers send before the first fault, so that all VMs are in touch, in ms. */
const WARM_UP_MS = 3_500;
const STATUS_OK = 200;
const DEFAULT_TIMEOUT_MS = 8_000;
const TIMEOUTS_MS = [7_000, DEFAULT_TIMEOUT_MS, 9_000];

/**
 * Runs the platform program as processes on loopback addresses, with callers, endpoints and an operator, and disturbs them.
 *
 * @param options - Seed, size and duration.
 * @returns What callers saw, and the promises that were broken.
 * @throws Error if the processes don't start.
 * @example
 * (await runProcessSoak({ seed: 1, proxyCount: 6, durationMs: 30_000, earliestReloadMs: 300, program })).violations;
 */
export async function runProcessSoak(options: ProcessSoakOptions): Promise<ProcessSoakReport> {
    const { seed, proxyCount, durationMs, earliestReloadMs, program } = options;
    const random = createRandom(seed);
    const nowMs = (): number => performance.now();
    const block = `127.${20 + process.pid % 200}.${1 + seed % 250}`;
    const fleet = ProcessFleet.create(program, block, proxyCount, GRACE_MS, nowMs);
    const runs: RunRecord[] = [];
    const endpoints: EndpointServer[] = [];
    const violations: string[] = [];
    let version = 1;
    let acknowledgedVersion = 0;
    const changeConfiguration = async (): Promise<void> => {
        const ownVersion = version += 1;
        const timeoutMs = TIMEOUTS_MS[ownVersion % TIMEOUTS_MS.length] ?? DEFAULT_TIMEOUT_MS;
        await callUntilDecided(fleet, "PATCH", createConfigurationChange(ownVersion, timeoutMs));
        acknowledgedVersion = Math.max(acknowledgedVersion, ownVersion);
    };
    const traffic = TrafficSource.create(fleet, createRandom(seed + 1_000_000), nowMs);
    try {
        for (let vm = 0; vm < proxyCount; vm += 1) {
            endpoints.push(await EndpointServer.create(vm, fleet.serviceOf(vm), fleet.addressesOf(vm), runs, nowMs));
        }
        await changeConfiguration();
        const sending = traffic.run();
        await delay(WARM_UP_MS);
        const faultSource = FaultSource.create(fleet, random, changeConfiguration, seed % 2 === 1, earliestReloadMs);
        await faultSource.run(durationMs);
        traffic.stop();
        await sending;
        const readVersion = Math.min(...readVersions(await callUntilDecided(fleet, "GET", undefined)));
        if (readVersion < acknowledgedVersion) {
            violations.push(`CONFIG r${acknowledgedVersion} was acknowledged, and r${readVersion} is read back`);
        }
        const { attempts } = traffic;
        violations.push(...findViolations({ attempts, runs, faults: fleet.faults, graceMs: GRACE_MS, serviceOf: (vm) => fleet.serviceOf(vm) }));
        const served = attempts.filter(({ status }) => status === STATUS_OK).length;
        const folder = violations.length > 0 ? fleet.folder : undefined;
        return { seed, requests: attempts.length, served, faults: fleet.faults.length, violations, folder };
    }
    finally {
        endpoints.forEach((endpoint) => endpoint.close());
        await fleet.close(violations.length > 0);
    }
}

function readVersions(body: string): readonly number[] {
    const { resources } = JSON.parse(body) as { readonly resources: readonly { readonly metadata: { readonly version: string } }[] };
    return resources.map(({ metadata }) => Number(metadata.version.slice(1)));
}
