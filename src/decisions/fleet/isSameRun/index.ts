import { EndpointRun } from "../EndpointRun.js";

/**
 * Checks whether two reports come from the same run of the same backend server.
 *
 * @param left - One of the reports.
 * @param right - The other one.
 * @returns True if the id and the time of the start are the same.
 * @example
 * isSameRun({ id: "i-1", bornAtMs: 1 }, { id: "i-1", bornAtMs: 2 }); // false
 */
export function isSameRun(left: EndpointRun, right: EndpointRun): boolean {
    return left.id === right.id && left.bornAtMs === right.bornAtMs;
}
