import { AbuseRecord } from "../AbuseRecord.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { Period } from "../Period.js";
import { FaultRecord } from "../FaultRecord.js";
import { FaultKind } from "../FaultKind.js";
import { findKeyViolations } from "../findKeyViolations/index.js";
import { findStarvation } from "../findStarvation/index.js";
import { findViolations } from "../findViolations/index.js";
import { RefusalRecord } from "../RefusalRecord.js";
import { RunRecord } from "../RunRecord.js";
import { SOAK_ORGANISATIONS } from "../soakOrganisations.js";

/** Age at which a request is judged, in ms; longer than its deadline, and than a process keeps a request that it has passed on. */
const JUDGED_AGE_MS = 40_000;
/** Age at which a record is no longer needed to judge a request, in ms. */
const DROPPED_AGE_MS = 80_000;
const STATUS_OK = 200;

/** What a run records. The judge removes what it has judged. */
interface JudgedRecords {
    readonly attempts: AttemptRecord[];
    readonly refusals: RefusalRecord[];
    readonly runs: RunRecord[];
    readonly faults: FaultRecord[];
    readonly abuses: AbuseRecord[];
    readonly calms: Period[];
    readonly stalls: Period[];
}

/** Settings of a `SoakJudge`. */
interface SoakJudgeOptions {
    readonly graceMs: number;
    readonly proxyCount: number;
    readonly serviceOf: (vm: number) => string;
    /** True if callers need keys of organisations. */
    readonly hasOrganisations?: boolean;
}

/** Judges the records of a run as they age, and drops them, so that a run of any length needs bounded memory. */
export class SoakJudge {
    readonly violations: string[] = [];
    requests = 0;
    served = 0;
    faults = 0;

    private constructor(private readonly records: JudgedRecords, private readonly options: SoakJudgeOptions) {}

    /**
     * Creates a judge of records that grow during the run.
     *
     * @param records - What the run records.
     * @param options - Settings of the fleet.
     */
    static create(records: JudgedRecords, options: SoakJudgeOptions): SoakJudge {
        return new SoakJudge(records, options);
    }

    /** Judges the requests that have ended long enough ago. */
    judgeAged(nowMs: number): void {
        this.judge(nowMs - JUDGED_AGE_MS, nowMs - DROPPED_AGE_MS);
    }

    /** Judges all that is left. */
    judgeAll(): void {
        this.judge(Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY);
    }

    private judge(untilMs: number, dropUntilMs: number): void {
        const { attempts, refusals, runs, faults, abuses, calms, stalls } = this.records;
        const { graceMs, proxyCount, serviceOf, hasOrganisations = false } = this.options;
        const isLast = untilMs === Number.POSITIVE_INFINITY;
        const judged = removeWhere(attempts, ({ end, endedAtMs }) => isLast || (end !== undefined && endedAtMs < untilMs));
        const judgedRefusals = removeWhere(refusals, ({ atMs }) => atMs < untilMs);
        this.violations.push(
            ...findViolations({ attempts: judged, runs, faults, abuses, stalls, graceMs, serviceOf }),
            ...hasOrganisations ? findKeyViolations(judged, runs) : [],
            ...findStarvation({ attempts: judged.filter(isExpectedToBeServed), refusals: judgedRefusals, abuses, calms, proxyCount }),
        );
        this.requests += judged.length;
        this.served += judged.filter(({ status }) => status === STATUS_OK).length;
        const ids = new Set(judged.map(({ id }) => id));
        removeWhere(runs, ({ attemptId, startedAtMs }) => ids.has(attemptId) || startedAtMs < dropUntilMs);
        this.faults += removeWhere(faults, ({ kind, atMs }) => kind === FaultKind.OwnEnd || atMs < dropUntilMs).length;
        removeWhere(abuses, ({ endedAtMs }) => endedAtMs < dropUntilMs);
        [calms, stalls].forEach((periods) => void removeWhere(periods, (period) => period.untilMs < dropUntilMs));
    }
}

/** Requests of the organisation above its limit and those with an unknown key are refused in any case. */
function isExpectedToBeServed({ apiKey }: AttemptRecord): boolean {
    return apiKey === undefined || apiKey === SOAK_ORGANISATIONS.unlimited.apiKey;
}

/** Removes the entries that match from a list, and returns them. */
function removeWhere<T>(entries: T[], matches: (entry: T) => boolean): readonly T[] {
    const removed = entries.filter(matches);
    const kept = entries.filter((entry) => !matches(entry));
    entries.splice(0, entries.length, ...kept);
    return removed;
}
