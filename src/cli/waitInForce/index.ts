import { setTimeout as delay } from "node:timers/promises";
import { DaemonStatus } from "../../operators/DaemonStatus.js";
import { callOperator } from "../callOperator/index.js";
import { WaitReport } from "../WaitReport.js";

const POLL_MS = 50;

/**
 * Waits until a manifest version is in force on processes.
 *
 * @param operators - Addresses of their operators' interfaces.
 * @param version - Version to wait for.
 * @param timeoutMs - Time to wait at most.
 * @param token - Token of the interfaces, if they need one.
 * @returns Where it is in force, where it is not yet, and who could not be reached.
 * @example
 * await waitInForce(["127.0.0.1:7000"], 3, 5_000, undefined);
 */
export async function waitInForce(
    operators: readonly string[],
    version: number,
    timeoutMs: number,
    token: string | undefined,
): Promise<WaitReport> {
    const endsAtMs = Date.now() + timeoutMs;
    for (;;) {
        const positions = await Promise.all(operators.map((address) => readVersion(address, token)));
        const select = (condition: (found: number | undefined) => boolean): readonly string[] =>
            operators.filter((_, index) => condition(positions[index]));
        const report: WaitReport = {
            inForce: select((found) => found !== undefined && found >= version),
            behind: select((found) => found !== undefined && found < version),
            unreachable: select((found) => found === undefined),
        };
        if (report.inForce.length === operators.length || Date.now() >= endsAtMs) {
            return report;
        }
        await delay(POLL_MS);
    }
}

async function readVersion(address: string, token: string | undefined): Promise<number | undefined> {
    try {
        const status = await callOperator<DaemonStatus>({ address, method: "GET", path: "/status", token });
        return status.configuration.manifestVersion;
    }
    catch {
        return undefined;
    }
}
