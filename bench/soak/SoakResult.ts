import { Outcome } from "../../src/model/Outcome.js";
import { SoakRequestPlan } from "./SoakRequestPlan.js";

/** How a simulated request ended for its caller. */
export interface SoakResult {
    readonly plan: SoakRequestPlan;
    /** Undefined if the answer was cut off or the entry is gone. */
    readonly outcome: Outcome | undefined;
    /** True if an answer of a backend server was delivered whole. */
    readonly answered: boolean;
}
