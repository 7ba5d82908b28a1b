import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { InvariantMonitor } from "../InvariantMonitor/index.js";

/**
 * Asserts an invariant: reports a violation and throws, so that the step that would cause it is not taken.
 *
 * @param condition - True if the invariant holds.
 * @param statement - The invariant, as a sentence.
 * @param subject - Attempt, endpoint or process that the invariant concerns.
 * @throws FleetError if the invariant does not hold.
 * @example
 * assertInvariant(running <= slots, "a gate runs no more than its slots", gate);
 */
export function assertInvariant(condition: boolean, statement: string, subject: string): asserts condition {
    if (!condition) {
        InvariantMonitor.shared.report(statement, subject);
        throw FleetError.create({ step: Step.Invariant, peer: subject }, statement);
    }
}
