import { TrialWish } from "../suspicion/TrialWish.js";
import { Grade } from "./Grade.js";

/** Load of a gate at a moment. */
export interface GateLoadReport {
    readonly vm: string;
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
    /** Mean time that a request occupies a slot, or undefined before the first answer. */
    readonly serviceMs: number | undefined;
    readonly grade: Grade;
    /** Evidence against the endpoint, by which ejected endpoints are ordered; 0 if there is none. */
    readonly suspicion: number;
    /** Work that an endpoint which is not trusted should be tried with. */
    readonly trialWish: TrialWish;
    /** Share of the latest requests that the endpoint has turned away unrun, from 0 to 1. */
    readonly shedShare: number;
    /** True if a trusted endpoint has had no work for a time. */
    readonly isIdle: boolean;
}
