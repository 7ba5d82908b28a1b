import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { isSignificantLoadChange } from "../../decisions/fleet/isSignificantLoadChange/index.js";
import { updateIntervals } from "../../decisions/fleet/updateIntervals/index.js";
import { ProbeDemand } from "../../decisions/suspicion/ProbeDemand.js";

/** Longest time between two reports of the own load, in ms; entries use no report of 3 s or more. */
const REFRESH_MS = 800;

/** Reports the load of a gate when it has changed enough to be of use, and from time to time. */
export class LoadReporter {
    private readonly refreshTimer: NodeJS.Timeout;
    private reportTimer: NodeJS.Timeout | undefined;
    private reported: GateLoadReport | undefined;

    private constructor(
        private readonly readLoad: () => GateLoadReport,
        private readonly send: (load: GateLoadReport) => void,
        private readonly countGates: () => number,
    ) {
        this.refreshTimer = setInterval(() => this.report(), REFRESH_MS);
    }

    /**
     * Creates a reporter that reports from now on.
     *
     * @param readLoad - Reads the load of the gate.
     * @param send - Sends a report.
     * @param countGates - Number of gates known in the fleet, with which the pace falls.
     */
    static create(readLoad: () => GateLoadReport, send: (load: GateLoadReport) => void, countGates: () => number): LoadReporter {
        return new LoadReporter(readLoad, send, countGates);
    }

    /** Takes note that the load has changed; a change of trust is reported at once. */
    note(isUrgent: boolean): void {
        if (isUrgent) {
            this.report();
            return;
        }
        this.reportTimer ??= setTimeout(() => {
            this.reportTimer = undefined;
            if (isSignificantLoadChange(this.reported, this.readLoad())) {
                this.report();
            }
            else {
                this.watchWish();
            }
        }, updateIntervals(this.countGates()).loadsMs);
    }

    /** Stops the reports. */
    close(): void {
        clearInterval(this.refreshTimer);
        clearTimeout(this.reportTimer);
    }

    private report(): void {
        this.reported = this.readLoad();
        this.send(this.reported);
        this.watchWish();
    }

    /** An endpoint that is not trusted, or idle, wants work after a time, whether or not anything happens at the gate. */
    private watchWish(): void {
        const { grade, isIdle, trialWish } = this.readLoad();
        if (grade !== Grade.Trusted || (isIdle && trialWish === ProbeDemand.None)) {
            this.note(false);
        }
    }
}
