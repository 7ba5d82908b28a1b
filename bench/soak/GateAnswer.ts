import { Outcome } from "../../src/model/Outcome.js";
import { RefusalReason } from "../../src/model/RefusalReason.js";

/** Response of a simulated gate. */
export interface GateAnswer {
    readonly outcome: Outcome;
    readonly reason: RefusalReason | undefined;
    /** Work to which the answer belongs. */
    readonly workId: string;
}
