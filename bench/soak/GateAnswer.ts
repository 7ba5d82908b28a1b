import { Outcome } from "../../src/model/Outcome.js";
import { RefusalReason } from "../../src/model/RefusalReason.js";

/** What a simulated gate sends back. */
export interface GateAnswer {
    readonly outcome: Outcome;
    readonly reason: RefusalReason | undefined;
    /** Work that the answer belongs to. */
    readonly workId: string;
}
