import { FaultRates } from "../FaultRates.js";
import { VirtualClock } from "../VirtualClock/index.js";
import { BackendResult } from "../BackendResult.js";

const MAX_SERVICE_MS = 400;

/** Backend servers of a simulated run; counts the executions of each piece of work and of each request. */
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

    /** Runs work and reports the result after a random time; a refusal, for work that was not run, is reported after 1 ms. */
    run(workId: string, requestId: string, onResult: (result: BackendResult) => void): void {
        if (this.random() < this.rates.backendRefusal) {
            this.clock.after(1, () => onResult(BackendResult.Refused));
            return;
        }
        this.executionsByWork.set(workId, (this.executionsByWork.get(workId) ?? 0) + 1);
        this.executionsByRequest.set(requestId, (this.executionsByRequest.get(requestId) ?? 0) + 1);
        const crashes = this.random() < this.rates.backendCrash;
        this.clock.after(this.random() * MAX_SERVICE_MS, () => onResult(crashes ? BackendResult.Crashed : BackendResult.Answered));
    }
}
