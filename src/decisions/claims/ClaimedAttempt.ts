import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";

/** An attempt entered under an idempotency key, and the gate to which it goes. */
export interface ClaimedAttempt {
    readonly id: AttemptId;
    readonly gate: GateRef;
}
