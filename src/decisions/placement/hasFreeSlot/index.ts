import { GateLoadReport } from "../../fleet/GateLoadReport.js";

/**
 * Estimates from the latest load report whether a gate can send a request to its endpoint at once.
 *
 * @param load - The report, or undefined if there is none: the endpoint then counts as free.
 * @param offersSinceReport - Requests that were offered to the gate since the report.
 * @returns True if a slot is free and the endpoint's limit allows a request.
 * @example
 * hasFreeSlot({ ...load, running: 4, queued: 0, slots: 5 }, 0); // true
 */
export function hasFreeSlot(load: GateLoadReport | undefined, offersSinceReport: number): boolean {
    return load === undefined || (load.running + load.queued + offersSinceReport < load.slots && (load.limitWaitMs ?? 0) <= 0);
}
