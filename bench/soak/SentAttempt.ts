import { GateAttempt } from "../../src/decisions/gate/GateAttempt.js";
import { GateAnswer } from "./GateAnswer.js";
import { SoakNode } from "./SoakNode/index.js";

/** An attempt sent to a simulated gate. */
export interface SentAttempt {
    readonly attempt: GateAttempt;
    readonly entry: SoakNode;
    readonly workId: string;
    readonly requestId: string;
    /** Handles the answer at the entry; undefined if the connection was lost. */
    readonly onResponse: (answer: GateAnswer | undefined) => void;
}
