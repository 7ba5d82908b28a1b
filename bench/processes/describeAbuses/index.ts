import { AbuseRecord } from "../AbuseRecord.js";

/** Time after an abuse within which it may have caused what is seen of a process, in ms. */
const AFTERMATH_MS = 10_000;
const DESCRIBED_ABUSES = 6;

/**
 * Describes the abuses of a process that went on at a time, or had just ended.
 *
 * @param process - Name of the process.
 * @param atMs - Time on the clock of the soak.
 * @param abuses - Abuses of all processes.
 * @returns The descriptions, at most six and each behind a semicolon; empty if there was none.
 * @example
 * describeAbuses("proxy-1", 5_000, abuses); // "; 2 times trailers at full speed to 127.20.1.11:8621, reading since 4000"
 */
export function describeAbuses(process: string, atMs: number, abuses: readonly AbuseRecord[]): string {
    const own = abuses.filter((abuse) => abuse.process === process && abuse.startedAtMs <= atMs && atMs <= abuse.endedAtMs + AFTERMATH_MS);
    const latest = new Map(own.map(({ description, startedAtMs }) => [description, startedAtMs]));
    return [...latest].slice(-DESCRIBED_ABUSES).map(([description, startedAtMs]) => `; ${description} since ${Math.round(startedAtMs)}`).join("");
}
