import { FaultRates } from "../FaultRates.js";
import { VirtualClock } from "../VirtualClock/index.js";
import { BackendResult } from "../BackendResult.js";

const LONGEST_WORK_MS = 400;

/** Backend servers of a simulated run: count the executions of each piece of work and of each request. */
export class SoakBackend {
    readonly executionsByWork = new Map<string, number>();
    readonly executionsByRequest = new Map<string, number>();

    private constructor(
        private readonly clock: VirtualClock,
        private readonly random: () => number,
        private readonly rates: FaultRates,
    ) {}

    /** Creates backend servers that have run nothing. */
    static create(clock: VirtualClock, random: () => number, rates: FaultRates): SoakBackend {
        return new SoakBackend(clock, random, rates);
    }

    /** Runs work; the result comes later, or says at once that the work did not run. */
    run(workId: string, requestId: string, done: (result: BackendResult) => void): void {
        if (this.random() < this.rates.backendRefusal) {
            this.clock.after(1, () => done(BackendResult.Refused));
            return;
        }
        this.executionsByWork.set(workId, (this.executionsByWork.get(workId) ?? 0) + 1);
        this.executionsByRequest.set(requestId, (this.executionsByRequest.get(requestId) ?? 0) + 1);
        const crashes = this.random() < this.rates.backendCrash;
        this.clock.after(this.random() * LONGEST_WORK_MS, () => done(crashes ? BackendResult.Crashed : BackendResult.Answered));
    }
}
