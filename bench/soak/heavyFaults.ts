import { FaultRates } from "./FaultRates.js";

/** Fault rates of the long runs, at which some fault is nearly always in progress. */
export const HEAVY_FAULTS: FaultRates = {
    lostMessage: 0.02,
    duplicateMessage: 0.02,
    slowMessage: 0.03,
    backendCrash: 0.02,
    backendRefusal: 0.02,
    brokenBody: 0.1,
    cutEveryMs: 400,
    killEveryMs: 1_500,
    freezeEveryMs: 1_500,
    drainEveryMs: 2_500,
};
