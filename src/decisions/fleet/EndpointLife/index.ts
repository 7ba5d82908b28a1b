import { EndpointPhase } from "../EndpointPhase.js";
import { EndpointReport } from "../EndpointReport.js";

/** Three missed heartbeats at the usual 1.5 s: the run is over even if its successor's clock is behind. */
const SILENT_MS = 4_500;

/**
 * Decides which report of the backend servers beside a proxy counts. The latest run wins over earlier ones, and within
 * a run the report with the highest sequence; a run that drains or has left never becomes ready again.
 */
export class EndpointLife {
    private latest: EndpointReport | undefined;
    /** Backend servers that have left, and the time of day at which they said so. */
    private readonly left = new Map<string, number>();
    private heardAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates the life of an endpoint that has not been heard of. */
    static create(): EndpointLife {
        return new EndpointLife();
    }

    /** The report that counts. */
    get report(): EndpointReport | undefined {
        return this.latest;
    }

    /** Time of the last report that counted. */
    get lastHeardAtMs(): number {
        return this.heardAtMs;
    }

    /**
     * Takes a report.
     *
     * @returns True if what is known of the endpoint changed.
     */
    take(report: EndpointReport, nowMs: number): boolean {
        const { latest } = this;
        if (report.bornAtMs <= (this.left.get(report.id) ?? Number.NEGATIVE_INFINITY)) {
            return false;
        }
        const isSilent = nowMs - this.heardAtMs > SILENT_MS;
        if (latest !== undefined && isOlder(report, latest) && !(isSilent && report.bornAtMs !== latest.bornAtMs)) {
            return false;
        }
        this.heardAtMs = nowMs;
        const next = latest !== undefined && isSameRun(report, latest) ? { ...report, phase: laterPhase(latest.phase, report.phase) } : report;
        this.latest = next;
        return latest === undefined || !isSameRun(latest, next) || latest.phase !== next.phase || latest.slots !== next.slots;
    }

    /**
     * Takes the last word of a backend server that leaves.
     *
     * @param id - Its name.
     * @param nowMs - Current time.
     * @param timeOfDayMs - Current time of day in ms since the Unix epoch; later runs of the same name are born after it.
     * @returns True if it is the endpoint that counts.
     */
    leave(id: string, nowMs: number, timeOfDayMs: number): boolean {
        const { latest } = this;
        this.left.set(id, timeOfDayMs);
        if (latest?.id !== id) {
            return false;
        }
        this.heardAtMs = nowMs;
        this.latest = { ...latest, phase: EndpointPhase.Left };
        return true;
    }

    /**
     * Restores what an earlier run of the proxy had published, so that a drain it acknowledged binds this run too.
     *
     * @param report - Report in the fleet's record of this VM.
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

function isSameRun(left: EndpointReport, right: EndpointReport): boolean {
    return left.id === right.id && left.bornAtMs === right.bornAtMs;
}

function isOlder(report: EndpointReport, latest: EndpointReport): boolean {
    if (report.bornAtMs !== latest.bornAtMs) {
        return report.bornAtMs < latest.bornAtMs;
    }
    return report.id === latest.id && report.sequence <= latest.sequence;
}
