import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";

/** Callbacks of a request machine. All are synchronous, and deterministic for a given seed. */
export interface RequestCallbacks {
    /** Chooses a gate that is not excluded; undefined if there is none. */
    chooseGate(excluded: readonly GateRef[]): GateRef | undefined;
    /** Allocates the id of a new attempt. */
    allocateAttemptId(): AttemptId;
    /** Withdraws one retry from the budget; false if the budget is spent. */
    tryWithdrawRetry(): boolean;
}
