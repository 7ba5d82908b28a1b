import { cpus, totalmem } from "node:os";
import { measureFleet } from "../slopes/measureFleet/index.js";
import { measureModules } from "../slopes/measureModules/index.js";
import { SlopesReport } from "../SlopesReport.js";

const BYTES_PER_GIB = 1_024 ** 3;

/**
 * Measures the growth of costs with size, on which the figures in docs/CAPACITY.md are based.
 *
 * @param shouldMeasureFleet - Whether to measure fleets of separate processes too, not only the decision modules.
 * @returns The slopes and the machine on which they were measured.
 * @example
 * (await runSlopes(false)).slopes.length;
 */
export async function measureSlopes(shouldMeasureFleet: boolean): Promise<SlopesReport> {
    const machine = {
        processors: cpus().length,
        model: cpus()[0]?.model ?? "",
        memoryGib: Math.round(totalmem() / BYTES_PER_GIB),
        runtime: process.version,
    };
    const modules = measureModules();
    if (!shouldMeasureFleet) {
        return { machine, slopes: modules, spread: undefined };
    }
    const { slopes, spread } = await measureFleet();
    return { machine, slopes: [...modules, ...slopes], spread };
}
