import { GateLoadReport } from "../GateLoadReport.js";

/** Smallest reported change in the number of requests at a gate; entries count their own offers in between. */
const MIN_BUSY_CHANGE = 2;
/** Smallest reported change in the share of requests that the endpoint sheds. */
const MIN_SHED_SHARE_CHANGE = 0.2;

/**
 * Checks whether a load has changed enough to be reported to the fleet, so that small changes use no bandwidth between
 * failure domains.
 *
 * @param reported - Last reported load, or undefined if there is none.
 * @param load - Current load.
 * @returns True if the load should be reported.
 * @example
 * isSignificantLoadChange(undefined, load); // true
 */
export function isSignificantLoadChange(reported: GateLoadReport | undefined, load: GateLoadReport): boolean {
    if (reported === undefined) {
        return true;
    }
    const busy = load.running + load.queued;
    const reportedBusy = reported.running + reported.queued;
    return load.grade !== reported.grade
        || load.trialWish !== reported.trialWish
        || load.isIdle !== reported.isIdle
        || load.slots !== reported.slots
        || (busy < load.slots) !== (reportedBusy < reported.slots)
        || Math.abs(busy - reportedBusy) >= MIN_BUSY_CHANGE
        || Math.abs(load.shedShare - reported.shedShare) >= MIN_SHED_SHARE_CHANGE;
}
