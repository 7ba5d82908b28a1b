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
 * Tracks the endpoint beside a proxy and decides which report of its backend servers is current: that of the latest run
 * and, within a run, that with the highest sequence number. A run that drains or has left never becomes ready again.
 */
export class EndpointTracker {
    private latest: EndpointReport | undefined;
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

    /** Time at which a report was last accepted. */
    get lastReportAtMs(): number {
        return this.reportedAtMs;
    }

    /**
     * Applies a report unless it is outdated.
     *
     * @returns True if the run, the phase or the number of slots changed.
     */
    applyReport(report: EndpointReport, nowMs: number): boolean {
        const { latest } = this;
        if (report.bornAtMs <= (this.departedAtMs.get(report.id) ?? Number.NEGATIVE_INFINITY)) {
            return false;
        }
        const isSilent = nowMs - this.reportedAtMs > SILENCE_TIMEOUT_MS;
        if (latest !== undefined && isOlder(report, latest) && !(isSilent && report.bornAtMs !== latest.bornAtMs)) {
            return false;
        }
        this.reportedAtMs = nowMs;
        const next = latest !== undefined && isSameRun(report, latest) ? { ...report, phase: laterPhase(latest.phase, report.phase) } : report;
        this.latest = next;
        return latest === undefined || !isSameRun(latest, next) || latest.phase !== next.phase || latest.slots !== next.slots;
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
        this.departedAtMs.set(id, timeOfDayMs);
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
}

const PHASE_ORDER = [EndpointPhase.Ready, EndpointPhase.Draining, EndpointPhase.Left];

function laterPhase(left: EndpointPhase, right: EndpointPhase): EndpointPhase {
    return PHASE_ORDER.indexOf(left) >= PHASE_ORDER.indexOf(right) ? left : right;
}

function isOlder(report: EndpointReport, latest: EndpointReport): boolean {
    if (report.bornAtMs !== latest.bornAtMs) {
        return report.bornAtMs < latest.bornAtMs;
    }
    return report.id === latest.id && report.sequence <= latest.sequence;
}
