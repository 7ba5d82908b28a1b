import { readFileSync } from "node:fs";

const BYTES_PER_KIB = 1_024;
/** Clock ticks per second in which Linux counts processor time (USER_HZ). */
const TICKS_PER_SECOND = 100;
/** Positions of the user and system time in /proc/PID/stat, counted behind the name of the program. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** What the kernel says of a process. */
interface ProcessReading {
    readonly residentBytes: number;
    readonly peakResidentBytes: number;
    /** Processor time used since the start, in ms. */
    readonly processorMs: number;
}

/**
 * Reads the memory and the processor time of a process from /proc.
 *
 * @param pid - Process id.
 * @returns The figures, or undefined if there is no such process or it has just ended.
 * @example
 * readProcess(process.pid)?.residentBytes;
 */
export function readProcess(pid: number): ProcessReading | undefined {
    let status: string;
    let stat: string;
    try {
        status = readFileSync(`/proc/${pid}/status`, "utf8");
        stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    }
    catch {
        return undefined;
    }
    const find = (name: string): number | undefined => {
        const found = new RegExp(`^${name}:\\s+(\\d+) kB`, "m").exec(status)?.[1];
        return found === undefined ? undefined : Number(found) * BYTES_PER_KIB;
    };
    const residentBytes = find("VmRSS");
    const peakResidentBytes = find("VmHWM");
    if (residentBytes === undefined || peakResidentBytes === undefined) {
        return undefined;
    }
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
    return { residentBytes, peakResidentBytes, processorMs: ticks * 1_000 / TICKS_PER_SECOND };
}
