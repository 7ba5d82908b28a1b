import { setTimeout as delay } from "node:timers/promises";
import { DaemonStatus } from "../../operators/DaemonStatus.js";
import { callOperatorApi } from "../callOperatorApi/index.js";
import { WaitReport } from "../WaitReport.js";

const POLL_INTERVAL_MS = 50;

/**
 * Waits until a manifest version or a later one is in force on all given processes.
 *
 * @param operators - Addresses of their operator APIs.
 * @param version - Version to wait for.
 * @param timeoutMs - Maximum time to wait, in ms.
 * @param token - Token for the APIs, if they require one.
 * @returns The processes where it is in force, those that are behind, and those that are unreachable.
 * @example
 * await waitUntilInForce(["127.0.0.1:7000"], 3, 5_000, undefined);
 */
export async function waitUntilInForce(
    operators: readonly string[],
    version: number,
    timeoutMs: number,
    token: string | undefined,
): Promise<WaitReport> {
    const deadlineMs = Date.now() + timeoutMs;
    for (;;) {
        const versions = await Promise.all(operators.map((address) => readVersion(address, token)));
        const filterOperators = (condition: (current: number | undefined) => boolean): readonly string[] =>
            operators.filter((_, index) => condition(versions[index]));
        const report: WaitReport = {
            inForce: filterOperators((current) => current !== undefined && current >= version),
            behind: filterOperators((current) => current !== undefined && current < version),
            unreachable: filterOperators((current) => current === undefined),
        };
        if (report.inForce.length === operators.length || Date.now() >= deadlineMs) {
            return report;
        }
        await delay(POLL_INTERVAL_MS);
    }
}

async function readVersion(address: string, token: string | undefined): Promise<number | undefined> {
    try {
        const status = await callOperatorApi<DaemonStatus>({ address, method: "GET", path: "/status", token });
        return status.configuration.manifestVersion;
    }
    catch {
        return undefined;
    }
}
