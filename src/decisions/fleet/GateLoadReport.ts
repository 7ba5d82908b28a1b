import { ProbeDemand } from "../outliers/ProbeDemand.js";
import { Grade } from "./Grade.js";

/** Load of a gate and state of its endpoint at one time. */
export interface GateLoadReport {
    readonly vm: string;
    /** Requests that occupy a slot. */
    readonly running: number;
    /** Requests that wait for a slot. */
    readonly queued: number;
    /** Number of requests that the endpoint runs at the same time; fewer than its slots if its limit allows fewer. */
    readonly slots: number;
    /** Time until the endpoint's limit allows a request that is not queued yet, in ms; undefined if it names none. */
    readonly limitWaitMs: number | undefined;
    /** Mean time that a request occupies a slot, or undefined before the first measurement. */
    readonly serviceMs: number | undefined;
    readonly grade: Grade;
    /** Score of the outlier detection of the endpoint; 0 if there is no evidence of failure. */
    readonly suspicion: number;
    /** Requests that the endpoint currently accepts as probes. */
    readonly trialWish: ProbeDemand;
    /** Share of the latest requests that the endpoint shed without running them, from 0 to 1. */
    readonly shedShare: number;
    /** True if the endpoint is trusted and has had no requests for some time. */
    readonly isIdle: boolean;
}
