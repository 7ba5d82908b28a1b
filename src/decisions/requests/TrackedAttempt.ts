import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";
import { AttemptProgress } from "./AttemptProgress.js";

/** An attempt of a request and its progress. Owned and changed by the request machine only. */
export interface TrackedAttempt {
    readonly id: AttemptId;
    readonly gate: GateRef;
    /** Whether an earlier request with the same idempotency key made it. */
    readonly isFromEarlierRequest: boolean;
    /** Whether the attempt resumes an interrupted answer. */
    readonly isResumption: boolean;
    progress: AttemptProgress;
    /** Number of "finished" verdicts received while no answer had arrived. */
    finishedVerdictCount: number;
    /** Whether the retained answer has been requested from the gate. */
    isAnswerRequested: boolean;
}
