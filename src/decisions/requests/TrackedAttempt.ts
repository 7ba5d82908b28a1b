import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";
import { AttemptProgress } from "./AttemptProgress.js";

/** An attempt of a request and how far it got. Owned and changed by the request machine only. */
export interface TrackedAttempt {
    readonly id: AttemptId;
    readonly gate: GateRef;
    /** Whether an earlier request under the same key made it. */
    readonly foreign: boolean;
    /** Whether the attempt continues an answer that broke off. */
    readonly resume: boolean;
    progress: AttemptProgress;
    /** Times the gate said that it was finished while no answer had come. */
    finishedVerdicts: number;
    /** Whether the retained answer has been asked for. */
    fetched: boolean;
}
