import { GateLoadReport } from "../GateLoadReport.js";

/** Change of the requests at a gate that is worth a report; entries count what they offer themselves. */
const BUSY_CHANGE = 2;
/** Change of the share of requests turned away that is worth a report. */
const SHED_CHANGE = 0.2;

/**
 * Tells whether a load is worth a report to the fleet, so that small changes cost no bandwidth between failure domains.
 *
 * @param reported - Load reported last, or undefined if none was.
 * @param load - Load now.
 * @example
 * isLoadNews(undefined, load); // true
 */
export function isLoadNews(reported: GateLoadReport | undefined, load: GateLoadReport): boolean {
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
        || Math.abs(busy - reportedBusy) >= BUSY_CHANGE
        || Math.abs(load.shedShare - reported.shedShare) >= SHED_CHANGE;
}
