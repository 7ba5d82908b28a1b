import { cpus, totalmem } from "node:os";
import { measureFleet } from "../slopes/measureFleet/index.js";
import { measureModules } from "../slopes/measureModules/index.js";
import { SlopesReport } from "../SlopesReport.js";

const BYTES_PER_GIB = 1_024 ** 3;

/**
 * Measures the slopes from which docs/CAPACITY.md is worked out.
 *
 * @param withFleet - Whether to measure fleets of separate processes too.
 * @returns The slopes, with the machine they were measured on.
 * @example
 * (await runSlopes(false)).slopes.length;
 */
export async function runSlopes(withFleet: boolean): Promise<SlopesReport> {
    const machine = {
        processors: cpus().length,
        model: cpus()[0]?.model ?? "",
        memoryGib: Math.round(totalmem() / BYTES_PER_GIB),
        runtime: process.version,
    };
    const modules = measureModules();
    if (!withFleet) {
        return { machine, slopes: modules, spread: undefined };
    }
    const { slopes, spread } = await measureFleet();
    return { machine, slopes: [...modules, ...slopes], spread };
}
