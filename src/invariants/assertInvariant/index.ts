import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { InvariantMonitor } from "../InvariantMonitor/index.js";

/**
 * Refuses a step that would break an invariant: reports it and throws.
 *
 * @param holds - Whether the invariant holds.
 * @param statement - The invariant, as a sentence.
 * @param subject - Attempt, endpoint or process concerned.
 * @throws FleetError if the invariant does not hold.
 * @example
 * assertInvariant(running <= slots, "a gate runs no more than its slots", gate);
 */
export function assertInvariant(holds: boolean, statement: string, subject: string): asserts holds {
    if (!holds) {
        InvariantMonitor.shared.report(statement, subject);
        throw FleetError.create({ step: Step.Invariant, peer: subject }, statement);
    }
}
