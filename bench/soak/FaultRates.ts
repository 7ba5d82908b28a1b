/** Fault rates of a simulated run: probabilities from 0 to 1, or mean times between faults. */
export interface FaultRates {
    readonly lostMessage: number;
    readonly duplicateMessage: number;
    readonly slowMessage: number;
    readonly backendCrash: number;
    readonly backendRefusal: number;
    readonly brokenBody: number;
    /** Mean time between faults of each kind, in ms. */
    readonly cutEveryMs: number;
    readonly killEveryMs: number;
    readonly freezeEveryMs: number;
    readonly drainEveryMs: number;
}
