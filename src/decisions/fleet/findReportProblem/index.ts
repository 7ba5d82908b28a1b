import { EndpointReport } from "../EndpointReport.js";

/** Names that can be sent as the value of a header field. */
const NAME = /^[\x21-\x7e]{1,256}$/;
/** More than any clock is wrong, in ms. */
const MAX_CLOCK_ERROR_MS = 86_400_000;
/** Maximum number of connections from one address, each of which carries one request. */
const MAX_SLOTS = 65_535;
/** Number of heartbeats in 49 days at one a millisecond. */
const MAX_SEQUENCE = 2 ** 32;
/** Longer than any cold start, in ms. */
const MAX_COLD_MS = 3_600_000;

/**
 * Finds a value in a report that no endpoint can have. Another writer must not take the place of the true endpoint by a start
 * time or a sequence number that nothing can exceed.
 *
 * @param report - Report of an endpoint.
 * @param timeOfDayMs - Time of day in ms since the Unix epoch.
 * @returns The problem, or undefined if there is none.
 * @example
 * findReportProblem({ ...report, slots: 2 ** 53 }, Date.now()); // "slots: 9007199254740992 is above 65535"
 */
export function findReportProblem(report: EndpointReport, timeOfDayMs: number): string | undefined {
    const name = [report.id, report.service].find((text) => !NAME.test(text));
    if (name !== undefined) {
        return `${JSON.stringify(name.slice(0, 64))} is no name of an endpoint or a service`;
    }
    const bounds = [
        ["start time", report.bornAtMs, timeOfDayMs + MAX_CLOCK_ERROR_MS],
        ["slots", report.slots, MAX_SLOTS],
        ["sequence number", report.sequence, MAX_SEQUENCE],
        ["remaining time of the cold start", report.coldRemainingMs, MAX_COLD_MS],
    ] as const;
    const exceeded = bounds.find(([, value, bound]) => value > bound);
    return exceeded === undefined ? undefined : `${exceeded[0]}: ${exceeded[1]} is above ${exceeded[2]}`;
}
