import { Outcome } from "../../src/model/Outcome.js";
import { SoakRequestSpec } from "./SoakRequestSpec.js";

/** Result of a simulated request, as its caller sees it. */
export interface SoakResult {
    readonly plan: SoakRequestSpec;
    /** Undefined if the answer was interrupted or the entry's process ended. */
    readonly outcome: Outcome | undefined;
    /** True if an answer of a backend server was delivered completely. */
    readonly answered: boolean;
}
