import { AbuseRecord } from "../AbuseRecord.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { Period } from "../Period.js";
import { RefusalRecord } from "../RefusalRecord.js";

/** Share of the requests of a machine that may fail; rule FLOOR looks at services that lose more than a tenth. */
const MAX_FAILED_SHARE = 0.1;
/** Number of requests below which the share says nothing. */
const MIN_REQUESTS = 50;
/** Time after an abuse for which it may still harm, in ms. */
const AFTERMATH_MS = 1_000;
const STATUS_OK = 200;

/** What a run of the soak has recorded. */
interface StarvationRecords {
    readonly attempts: readonly AttemptRecord[];
    readonly refusals: readonly RefusalRecord[];
    readonly abuses: readonly AbuseRecord[];
    readonly calms: readonly Period[];
    readonly proxyCount: number;
}

/**
 * Finds machines whose ordinary callers were not served while faulty peers abused them, and neither signals nor a flood of proper
 * requests disturbed the fleet.
 *
 * @param records - What the run has recorded.
 * @returns One line for each machine that failed more than a tenth of at least 50 requests.
 * @example
 * findStarvation({ attempts, refusals, abuses, calms, proxyCount: 6 }); // ["STARVED proxy-1 failed 40 of 100 requests during ..."]
 */
export function findStarvation({ attempts, refusals, abuses, calms, proxyCount }: StarvationRecords): readonly string[] {
    const loads = abuses.filter(({ isLoad }) => isLoad === true);
    const isCalm = (fromMs: number, untilMs: number): boolean => calms.some((calm) => calm.fromMs <= fromMs && untilMs <= calm.untilMs)
        && !loads.some(({ startedAtMs, endedAtMs }) => startedAtMs <= untilMs && fromMs <= endedAtMs + AFTERMATH_MS);
    return Array.from({ length: proxyCount }, (_value, vm) => vm).flatMap((vm) => {
        const own = abuses.filter(({ process, startedAtMs, endedAtMs }) => process === `proxy-${vm}`
            && calms.some(({ fromMs, untilMs }) => startedAtMs < untilMs && endedAtMs + AFTERMATH_MS > fromMs));
        const isAbused = (atMs: number): boolean => own.some(({ startedAtMs, endedAtMs }) => startedAtMs <= atMs && atMs <= endedAtMs + AFTERMATH_MS);
        const sent = attempts.filter((attempt) => attempt.vm === vm && isCalm(attempt.sentAtMs, attempt.endedAtMs) && isAbused(attempt.sentAtMs));
        const failures = sent.filter(({ status, isGenuine }) => status !== STATUS_OK || !isGenuine);
        const failed = failures.length;
        const refused = refusals.filter((refusal) => refusal.vm === vm && isCalm(refusal.atMs, refusal.atMs) && isAbused(refusal.atMs)).length;
        const count = sent.length + refused;
        if (count < MIN_REQUESTS || failed + refused <= count * MAX_FAILED_SHARE) {
            return [];
        }
        const causes = [...new Set(own.map(({ description, startedAtMs }) => `${description} since ${Math.round(startedAtMs)}`))].join("; ");
        const ends = failures.map(({ id, status, end }) => `${id} ${status ?? end}`).join(", ");
        return [`STARVED proxy-${vm} failed ${failed} of ${sent.length} requests (${ends}) and refused ${refused} connections during ${causes}`];
    });
}
