import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";

/** An attempt recorded under an idempotency key, and the gate to which it is sent. */
export interface ClaimedAttempt {
    readonly id: AttemptId;
    readonly gate: GateRef;
}
