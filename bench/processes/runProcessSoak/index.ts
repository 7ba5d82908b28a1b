import { request } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import { createRandom } from "../../soak/createRandom/index.js";
import { EndpointServer } from "../EndpointServer/index.js";
import { FaultSource } from "../FaultSource/index.js";
import { findViolations } from "../findViolations/index.js";
import { ProcessFleet } from "../ProcessFleet/index.js";
import { ProcessSoakOptions } from "../ProcessSoakOptions.js";
import { ProcessSoakReport } from "../ProcessSoakReport.js";
import { RouteKind } from "../RouteKind.js";
import { RunRecord } from "../RunRecord.js";
import { TrafficSource } from "../TrafficSource/index.js";

const GRACE_MS = 6_000;
const START_TIMEOUT_MS = 30_000;
/** Time for which callers send before the first fault, so that all VMs are in touch, in ms. */
const WARM_UP_MS = 3_500;
const CALL_TIMEOUT_MS = 1_000;
const CALL_RETRY_MS = 150;
const STATUS_OK = 200;
const TIMEOUTS_MS = [7_000, 8_000, 9_000];
const SERVICES = { [RouteKind.Safe]: "alpha", [RouteKind.Unsafe]: "beta", [RouteKind.Download]: "alpha" };

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
        const timeoutMs = TIMEOUTS_MS[ownVersion % TIMEOUTS_MS.length] ?? START_TIMEOUT_MS;
        await callUntilDecided(fleet, "PATCH", createChange(ownVersion, timeoutMs));
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

function createChange(version: number, timeoutMs: number): string {
    const metadata = (name: string): object => ({ name, version: `r${version}` });
    const routes = Object.values(RouteKind).map((kind) => ({
        entry_kind: "routes",
        metadata: metadata(`r-${kind}`),
        spec: {
            host: `${kind}.example`,
            path_prefix: "/",
            route_kind: kind,
            timeout: `${timeoutMs}ms`,
            target_latency: "2000ms",
            priority: 1,
            max_attempts: 2,
            service: SERVICES[kind],
        },
    }));
    const services = ["alpha", "beta"].map((name) => ({
        entry_kind: "services",
        metadata: metadata(name),
        spec: { health_path: "/health", max_connections: 390, protocol: "h1", tls: false },
    }));
    const limits = {
        entry_kind: "limits",
        metadata: { version: `r${version}` },
        spec: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: "3000ms", idle_timeout: "15000ms" },
    };
    return JSON.stringify({ upsert: { resources: [...services, limits, ...routes] } });
}

function readVersions(body: string): readonly number[] {
    const { resources } = JSON.parse(body) as { readonly resources: readonly { readonly metadata: { readonly version: string } }[] };
    return resources.map(({ metadata }) => Number(metadata.version.slice(1)));
}

/** Sends an operator's call to one control VM after the other until one answers it with 200. */
async function callUntilDecided(fleet: ProcessFleet, method: string, body: string | undefined): Promise<string> {
    const deadlineAtMs = performance.now() + START_TIMEOUT_MS;
    for (let tries = 0; performance.now() < deadlineAtMs; tries += 1) {
        const text = await call(fleet.operatorAddresses[tries % fleet.operatorAddresses.length] ?? "", method, body);
        if (text !== undefined) {
            return text;
        }
        await delay(CALL_RETRY_MS);
    }
    throw new Error(`${method} /config was not answered; the logs are in ${fleet.folder}`);
}

function call(address: string, method: string, body: string | undefined): Promise<string | undefined> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
        const sent = request({ host, port, method, path: "/config", agent: false, timeout: CALL_TIMEOUT_MS }, (response) => {
            let text = "";
            response.on("data", (chunk: Buffer) => text += chunk.toString());
            response.on("end", () => resolve(response.statusCode === STATUS_OK ? text : undefined));
            response.on("error", () => resolve(undefined));
        });
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => resolve(undefined));
        sent.end(body);
    });
}
