import { copyText } from "../../../model/copyText/index.js";
import { EndpointPhase } from "../EndpointPhase.js";
import { EndpointReport } from "../EndpointReport.js";
import { EndpointRun } from "../EndpointRun.js";
import { isSameRun } from "../isSameRun/index.js";

/**
 * Silence after which a run counts as ended, in ms: three missed heartbeats at the usual 1.5 s. A run with an earlier start
 * time can then replace it, as after a clock step.
 */
const SILENCE_TIMEOUT_MS = 4_500;
/**
 * Time over which a displaced run has to go on reporting, while the run that displaced it is silent, to become current again,
 * in ms. Longer than a burst of delayed reports, shorter than a heartbeat.
 */
const MIN_RECLAIM_MS = 1_000;
/** Maximum number of displaced and of refuted runs that are remembered. */
const MAX_REMEMBERED_RUNS = 8;

/** Maximum number of departures that are remembered, the latest ones; more than reports can be late. */
const MAX_DEPARTURES = 256;
/** Length of an id in characters beyond which no report is accepted, so that its departure need not be remembered. */
const MAX_ID_CHARACTERS = 256;

/** A run that a later one has displaced while it was ready and reported. */
interface DisplacedRun {
    readonly report: EndpointReport;
    /** Time of the first report since then, and since the last report of the current run, or undefined if there is none. */
    readonly reclaimedAtMs: number | undefined;
}

/**
 * Tracks the endpoint beside a proxy and decides which report of its backend servers is current: that of the latest run
 * and, within a run, that with the highest sequence number. A run that drains or has left never becomes ready again.
 *
 * A later run takes effect at once, as after a restart, although its report may come from another writer. So the run that it
 * displaced is remembered until the endpoint has answered as the new one. It becomes current again if the endpoint answers
 * that it is not the new one, or if it goes on reporting while the new one does not.
 */
export class EndpointTracker {
    private latest: EndpointReport | undefined;
    /** Displaced runs, the latest last. */
    private displaced: readonly DisplacedRun[] = [];
    /** Runs that the endpoint has denied to be. */
    private refuted: readonly EndpointRun[] = [];
    /** Backend servers that have left, with the time of day of their departure. */
    private readonly departedAtMs = new Map<string, number>();
    private reportedAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates a tracker without any report. */
    static create(): EndpointTracker {
        return new EndpointTracker();
    }

    /** The current report, or undefined if there is none yet. */
    get report(): EndpointReport | undefined {
        return this.latest;
    }

    /** Number of departures that are remembered. */
    get departureCount(): number {
        return this.departedAtMs.size;
    }

    /** Time at which a report was last accepted. */
    get lastReportAtMs(): number {
        return this.reportedAtMs;
    }

    /**
     * Applies a report unless it is outdated.
     *
     * @param report - The report.
     * @param nowMs - Current time.
     * @param resumedAtMs - End of the latest pause of this process, in which it could not read any report.
     * @returns True if the run, the phase or the number of slots changed.
     */
    applyReport(report: EndpointReport, nowMs: number, resumedAtMs = Number.NEGATIVE_INFINITY): boolean {
        const { latest } = this;
        if (report.bornAtMs <= (this.departedAtMs.get(report.id) ?? Number.NEGATIVE_INFINITY)) {
            return false;
        }
        if (latest !== undefined && isSameRun(report, latest)) {
            return this.applyCurrentRun(report, latest, nowMs);
        }
        const isReplaceable = this.reportedAtMs === Number.NEGATIVE_INFINITY;
        const isSilent = isReplaceable || nowMs - Math.max(this.reportedAtMs, resumedAtMs) > SILENCE_TIMEOUT_MS;
        if (!isSilent && this.displaced.some((run) => isSameRun(run.report, report))) {
            return this.applyDisplacedRun(report, nowMs);
        }
        const isOutdated = latest !== undefined && report.bornAtMs < latest.bornAtMs;
        if (!isSilent && (isOutdated || this.refuted.some((run) => isSameRun(run, report)))) {
            return false;
        }
        this.displaced = latest?.phase === EndpointPhase.Ready && !isSilent
            ? [...this.displaced, { report: latest, reclaimedAtMs: undefined }].slice(-MAX_REMEMBERED_RUNS)
            : [];
        this.refuted = this.refuted.filter((run) => !isSameRun(run, report));
        this.latest = report;
        this.reportedAtMs = nowMs;
        return true;
    }

    /**
     * Applies the answer of the endpoint to a request for a run, which shows whether that run is there.
     *
     * @param run - Run that the request was meant for.
     * @param isPresent - False if the endpoint denies to be that run.
     * @returns True if a displaced run became current again.
     */
    applyPresence(run: EndpointRun, isPresent: boolean, nowMs: number): boolean {
        const { latest } = this;
        if (latest === undefined || !isSameRun(run, latest)) {
            return false;
        }
        if (isPresent) {
            this.displaced = [];
            return false;
        }
        const former = this.displaced.at(-1);
        if (former === undefined) {
            // Whatever reports next is taken for the endpoint.
            this.reportedAtMs = Number.NEGATIVE_INFINITY;
            return false;
        }
        this.reinstate(former.report, nowMs);
        return true;
    }

    /**
     * Applies the statement of an endpoint that it leaves, as if it had reported that it drains.
     *
     * @param run - Run of the endpoint.
     * @returns True if it is the current run and was ready before.
     */
    applyLeaving(run: EndpointRun): boolean {
        const { latest } = this;
        if (latest === undefined || !isSameRun(run, latest) || latest.phase !== EndpointPhase.Ready) {
            return false;
        }
        this.latest = { ...latest, phase: EndpointPhase.Draining };
        return true;
    }

    /**
     * Applies the departure of a backend server.
     *
     * @param id - Id of the backend server.
     * @param nowMs - Current time.
     * @param timeOfDayMs - Current time of day in ms since the Unix epoch; reports of runs that started before it are ignored.
     * @returns True if it is the current endpoint.
     */
    applyDeparture(id: string, nowMs: number, timeOfDayMs: number): boolean {
        const { latest } = this;
        this.rememberDeparture(id, timeOfDayMs);
        this.displaced = this.displaced.filter((run) => run.report.id !== id);
        if (latest?.id !== id) {
            return false;
        }
        this.reportedAtMs = nowMs;
        this.latest = { ...latest, phase: EndpointPhase.Left };
        return true;
    }

    /**
     * Restores a report that an earlier run of the proxy published, so that a drain that it acknowledged stays in effect.
     *
     * @param report - Report in the fleet's record of this VM.
     * @returns True if the report was restored; false if it is ready or belongs to another run.
     */
    restore(report: EndpointReport): boolean {
        const isEnding = report.phase !== EndpointPhase.Ready;
        const { latest } = this;
        if (!isEnding || (latest !== undefined && !isSameRun(report, latest))) {
            return false;
        }
        this.latest = { ...latest ?? report, phase: laterPhase(latest?.phase ?? report.phase, report.phase) };
        return true;
    }

    private rememberDeparture(id: string, timeOfDayMs: number): void {
        if (id.length > MAX_ID_CHARACTERS) {
            return;
        }
        const key = copyText(id, MAX_ID_CHARACTERS);
        this.departedAtMs.delete(key);
        this.departedAtMs.set(key, timeOfDayMs);
        const oldest = this.departedAtMs.keys().next();
        if (this.departedAtMs.size > MAX_DEPARTURES && oldest.done !== true) {
            this.departedAtMs.delete(oldest.value);
        }
    }

    /** Applies a report of the current run. A late one still counts if it says that the run ends, since no run takes that back. */
    private applyCurrentRun(report: EndpointReport, latest: EndpointReport, nowMs: number): boolean {
        const phase = laterPhase(latest.phase, report.phase);
        if (report.sequence <= latest.sequence) {
            this.latest = { ...latest, phase };
            return phase !== latest.phase;
        }
        this.reportedAtMs = nowMs;
        this.displaced = this.displaced.map((run) => ({ ...run, reclaimedAtMs: undefined }));
        this.latest = { ...report, phase };
        return latest.phase !== phase || latest.slots !== report.slots;
    }

    private applyDisplacedRun(report: EndpointReport, nowMs: number): boolean {
        let reinstated: EndpointReport | undefined;
        this.displaced = this.displaced.map((run) => {
            if (!isSameRun(run.report, report)) {
                return run;
            }
            const phase = laterPhase(run.report.phase, report.phase);
            if (report.sequence <= run.report.sequence) {
                return { ...run, report: { ...run.report, phase } };
            }
            const reclaimedAtMs = run.reclaimedAtMs ?? nowMs;
            reinstated = nowMs - reclaimedAtMs >= MIN_RECLAIM_MS ? { ...report, phase } : undefined;
            return { report: { ...report, phase }, reclaimedAtMs };
        });
        if (reinstated === undefined) {
            return false;
        }
        this.reinstate(reinstated, nowMs);
        return true;
    }

    /** Makes a displaced run current again, and refutes the current one and those between them. */
    private reinstate(report: EndpointReport, nowMs: number): void {
        const index = this.displaced.findIndex((run) => isSameRun(run.report, report));
        const between = this.displaced.slice(index + 1).map((run) => run.report);
        const refuted = this.latest === undefined ? between : [...between, this.latest];
        this.refuted = [...this.refuted, ...refuted].slice(-MAX_REMEMBERED_RUNS);
        this.displaced = this.displaced.slice(0, index);
        this.latest = report;
        this.reportedAtMs = nowMs;
    }
}

const PHASE_ORDER = [EndpointPhase.Ready, EndpointPhase.Draining, EndpointPhase.Left];

function laterPhase(left: EndpointPhase, right: EndpointPhase): EndpointPhase {
    return PHASE_ORDER.indexOf(left) >= PHASE_ORDER.indexOf(right) ? left : right;
}
