import { NewsPace } from "../NewsPace.js";

/** Messages with grades that all entries of a fleet may get in a second together. */
const GRADE_MESSAGES_PER_S = 1_000;
/** The same for loads. */
const LOAD_MESSAGES_PER_S = 500;
/** The same for records. */
const RECORD_MESSAGES_PER_S = 2_000;
/** Bytes of loads that one entry may get in a second. */
const LOAD_BYTES_PER_S = 4_096;
/** Bytes of the load of one gate. */
const LOAD_BYTES = 12;
const MIN_LOADS_MS = 200;
const MS_PER_S = 1_000;

/**
 * Decides how often news of the fleet are passed on to each entry, so that the messages of the whole fleet grow with
 * its size and not with the square of it.
 *
 * Answers for fleets of tens to some hundreds of gates; a gate refuses what it cannot take, so that entries with older
 * loads only pay a round trip.
 *
 * @param gates - Gates of the fleet.
 * @returns The shortest times between two messages.
 * @example
 * newsPace(33).loadsMs; // 200
 */
export function newsPace(gates: number): NewsPace {
    return {
        recordsMs: gates * MS_PER_S / RECORD_MESSAGES_PER_S,
        loadsMs: Math.max(MIN_LOADS_MS, gates * MS_PER_S / LOAD_MESSAGES_PER_S, gates * LOAD_BYTES * MS_PER_S / LOAD_BYTES_PER_S),
        gradesMs: gates * MS_PER_S / GRADE_MESSAGES_PER_S,
    };
}
