import { AbuseRecord } from "../AbuseRecord.js";
import { AttemptEnd } from "../AttemptEnd.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { describeAbuses } from "../describeAbuses/index.js";
import { FaultKind } from "../FaultKind.js";
import { FaultRecord } from "../FaultRecord.js";
import { Period } from "../Period.js";
import { RouteKind } from "../RouteKind.js";
import { RunRecord } from "../RunRecord.js";

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const STATUS_OK = 200;
const STATUS_BAD_GATEWAY = 502;
const STATUS_GATEWAY_TIMEOUT = 504;
/** Time before a request within which a fault excuses its end, in ms. */
const CONTACT_MS = 3_000;
/** Time after the last byte of a request within which its connection may close without an answer, in ms. */
const LOSS_SLACK_MS = 200;
/** Time after the signal to stop up to which a request may still be at work at the end of the grace period, in ms. */
const LATE_REQUEST_MS = 3_000;
const DESCRIBED_FAULTS = 6;
const LAST_PART_OF_GRACE = 5 / 6;
const UNPLANNED: readonly FaultKind[] = [FaultKind.Kill, FaultKind.Freeze, FaultKind.Thaw];

/** What a run of the soak has recorded. */
interface SoakRecords {
    readonly attempts: readonly AttemptRecord[];
    readonly runs: readonly RunRecord[];
    readonly faults: readonly FaultRecord[];
    /** Abuses by faulty peers, for the descriptions of processes that ended by themselves. */
    readonly abuses?: readonly AbuseRecord[];
    /** Times at which the soak itself did not run, so that it saw the end of a connection late. */
    readonly stalls?: readonly Period[];
    readonly graceMs: number;
    /** Returns the service of the endpoint on a VM. */
    readonly serviceOf: (vm: number) => string;
}

/**
 * Finds promises that were broken in a run of the soak, from what callers and backend servers have seen.
 *
 * @param records - What the run has recorded.
 * @returns One line for each violation.
 * @example
 * findViolations({ attempts, runs, faults, graceMs: 6_000, serviceOf }); // ["TWICE a-1: ..."]
 */
export function findViolations({ attempts, runs, faults, abuses = [], stalls = [], graceMs, serviceOf }: SoakRecords): readonly string[] {
    const runsById = new Map<string, RunRecord[]>();
    runs.forEach((run) => runsById.set(run.attemptId, [...runsById.get(run.attemptId) ?? [], run]));
    const ownEnds = faults.filter(({ kind }) => kind === FaultKind.OwnEnd);
    const violations = ownEnds.map(({ process, atMs, exit }) =>
        `OWN-END ${process} at ${atMs} ms, ${exit}; ${describeFaults(process, atMs, faults)}${describeAbuses(process, atMs, abuses)}`);
    attempts.forEach((attempt) => {
        const own = runsById.get(attempt.id) ?? [];
        const report = (rule: string, problem: string): unknown => violations.push(`${rule} ${attempt.id} ${problem} ${describe(attempt, own, faults)}`);
        if (attempt.kind === RouteKind.Unsafe && own.length > 1) {
            report("TWICE", `ran ${own.length} times`);
        }
        if (attempt.kind === RouteKind.Unsafe && own.length > 0 && NOT_RUN_STATUSES.includes(attempt.status ?? 0)) {
            report("REFUSED", `ran and got ${attempt.status}`);
        }
        if (attempt.status === STATUS_OK && !attempt.isGenuine) {
            report("MIXED", "got another body than the endpoint's");
        }
        if (own.some(({ callerService }) => callerService !== serviceOf(attempt.vm))) {
            report("UNASKED", "ran under the name of another caller");
        }
        const loss = findLoss(attempt, own, faults, stalls, graceMs);
        if (loss !== undefined) {
            report("LOST", loss);
        }
    });
    return violations;
}

function describe(attempt: AttemptRecord, runs: readonly RunRecord[], faults: readonly FaultRecord[]): string {
    const processes = new Set([attempt, ...runs].map(({ vm }) => `proxy-${vm}`));
    const histories = [...processes].map((process) => `${process}: ${describeFaults(process, attempt.endedAtMs, faults) || "no faults"}`);
    return `${JSON.stringify({ ...attempt, runs })}; ${histories.join("; ")}`;
}

/** Lists what happened to a process before a time. */
function describeFaults(process: string, untilMs: number, faults: readonly FaultRecord[]): string {
    const latest = faults.filter((fault) => fault.process === process && fault.atMs <= untilMs + LOSS_SLACK_MS).slice(-DESCRIBED_FAULTS);
    return latest.map(({ kind, atMs, exit }) => `${kind} at ${atMs}${exit === undefined ? "" : ` (${exit})`}`).join(", ");
}

function findLoss(
    attempt: AttemptRecord,
    runs: readonly RunRecord[],
    faults: readonly FaultRecord[],
    stalls: readonly Period[],
    graceMs: number,
): string | undefined {
    const { vm, sentAtMs, endedAtMs, end, status } = attempt;
    const entry = `proxy-${vm}`;
    const isDisturbed = (process: string): boolean => faults.some((fault) =>
        fault.process === process && UNPLANNED.includes(fault.kind) && fault.atMs >= sentAtMs - CONTACT_MS && fault.atMs <= endedAtMs);
    if (end === undefined || end === AttemptEnd.TimedOut || isDisturbed(entry) || runs.some((run) => isDisturbed(`proxy-${run.vm}`))) {
        return undefined;
    }
    if (end === AttemptEnd.Complete) {
        const isBrokenOff = (status === STATUS_BAD_GATEWAY || status === STATUS_GATEWAY_TIMEOUT) && runs.length > 0;
        return isBrokenOff && !isExcusedByGrace(attempt, runs, faults, graceMs) ? `got ${status} though nothing had failed` : undefined;
    }
    const stalledMs = stalls.reduce((sum, { fromMs, untilMs }) => sum + Math.max(0, Math.min(untilMs, endedAtMs) - Math.max(fromMs, sentAtMs)), 0);
    const waitedMs = endedAtMs - sentAtMs - stalledMs;
    const isPassedOn = runs.length > 0;
    const isHeld = waitedMs > LOSS_SLACK_MS && !attempt.isBehindAnother;
    if ((!isPassedOn && !isHeld) || isExcusedByGrace(attempt, runs, faults, graceMs)) {
        return undefined;
    }
    return `${end} ${Math.round(waitedMs)} ms after it was sent, ${isPassedOn ? "passed on" : "not passed on"}`;
}

/** Returns whether the endpoint was still at work in the last sixth of the grace period, on a request that came early in it. */
function isExcusedByGrace(attempt: AttemptRecord, runs: readonly RunRecord[], faults: readonly FaultRecord[], graceMs: number): boolean {
    const { vm, sentAtMs, endedAtMs } = attempt;
    const stop = faults.find(({ kind, process, atMs }) =>
        kind === FaultKind.Terminate && process === `proxy-${vm}` && atMs <= endedAtMs && atMs >= endedAtMs - graceMs - CONTACT_MS);
    if (stop === undefined || sentAtMs > stop.atMs + LATE_REQUEST_MS) {
        return false;
    }
    return runs.some(({ finishedAtMs }) => (finishedAtMs ?? Number.POSITIVE_INFINITY) > stop.atMs + graceMs * LAST_PART_OF_GRACE);
}
