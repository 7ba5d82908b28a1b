import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { isSignificantLoadChange } from "../../decisions/fleet/isSignificantLoadChange/index.js";
import { updateIntervals } from "../../decisions/fleet/updateIntervals/index.js";
import { ProbeDemand } from "../../decisions/outliers/ProbeDemand.js";

/** Maximum interval between two load reports, in ms; entries ignore reports that are 3 s old or more. */
const MAX_REPORT_INTERVAL_MS = 800;

/** Reports the load of a gate when it has changed significantly, and at a regular interval. */
export class LoadReporter {
    private readonly refreshTimer: NodeJS.Timeout;
    private reportTimer: NodeJS.Timeout | undefined;
    private lastReport: GateLoadReport | undefined;

    private constructor(
        private readonly readLoad: () => GateLoadReport,
        private readonly send: (load: GateLoadReport) => void,
        private readonly countGates: () => number,
    ) {
        this.refreshTimer = setInterval(() => this.report(), MAX_REPORT_INTERVAL_MS);
    }

    /**
     * Creates a reporter and starts reporting.
     *
     * @param readLoad - Returns the current load of the gate.
     * @param send - Sends a load report.
     * @param countGates - Returns the number of known gates; reports are sent less often in a larger fleet.
     */
    static create(readLoad: () => GateLoadReport, send: (load: GateLoadReport) => void, countGates: () => number): LoadReporter {
        return new LoadReporter(readLoad, send, countGates);
    }

    /** Handles a change of the load. An urgent one, such as a change of grade, is reported immediately. */
    handleLoadChange(isUrgent: boolean): void {
        if (isUrgent) {
            this.report();
            return;
        }
        this.reportTimer ??= setTimeout(() => {
            this.reportTimer = undefined;
            if (isSignificantLoadChange(this.lastReport, this.readLoad())) {
                this.report();
            }
            else {
                this.scheduleProbeCheck();
            }
        }, updateIntervals(this.countGates()).loadsMs);
    }

    /** Stops reporting. */
    close(): void {
        clearInterval(this.refreshTimer);
        clearTimeout(this.reportTimer);
    }

    private report(): void {
        this.lastReport = this.readLoad();
        this.send(this.lastReport);
        this.scheduleProbeCheck();
    }

    /**
     * Schedules another check of the load if the endpoint is idle or not trusted: it becomes due for a probe request after
     * some time, even if nothing happens at the gate.
     */
    private scheduleProbeCheck(): void {
        const { grade, isIdle, trialWish } = this.readLoad();
        if (grade !== Grade.Trusted || (isIdle && trialWish === ProbeDemand.None)) {
            this.handleLoadChange(false);
        }
    }
}
