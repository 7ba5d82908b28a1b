import { UpdateIntervals } from "../UpdateIntervals.js";

/** Maximum rate of messages with grades to all entries of a fleet together. */
const GRADE_MESSAGES_PER_S = 1_000;
/** Maximum rate of messages with loads to all entries together. */
const LOAD_MESSAGES_PER_S = 500;
/** Maximum rate of messages with records to all entries together. */
const RECORD_MESSAGES_PER_S = 2_000;
/** Maximum bandwidth of loads to one entry. */
const LOAD_BYTES_PER_S = 4_096;
/** Size of the packed load of one gate. */
const LOAD_BYTES = 12;
/** Minimum interval for loads, in ms, however small the fleet is. */
const MIN_LOAD_INTERVAL_MS = 200;
const MS_PER_S = 1_000;

/**
 * Decides how often each entry receives updates of the fleet, so that the message rate of the whole fleet grows linearly
 * with its size rather than quadratically.
 *
 * Designed for fleets of tens to several hundred gates: a gate refuses requests that it cannot take, so outdated loads only
 * cost an entry a round trip.
 *
 * @param gateCount - Number of gates in the fleet.
 * @returns The minimum intervals between two messages to one entry.
 * @example
 * updateIntervals(33).loadsMs; // 200
 */
export function updateIntervals(gateCount: number): UpdateIntervals {
    return {
        recordsMs: gateCount * MS_PER_S / RECORD_MESSAGES_PER_S,
        loadsMs: Math.max(MIN_LOAD_INTERVAL_MS, gateCount * MS_PER_S / LOAD_MESSAGES_PER_S, gateCount * LOAD_BYTES * MS_PER_S / LOAD_BYTES_PER_S),
        gradesMs: gateCount * MS_PER_S / GRADE_MESSAGES_PER_S,
    };
}
