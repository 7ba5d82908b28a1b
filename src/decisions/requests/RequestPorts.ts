import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";

/** Choices that a request machine leaves to its controller. All are synchronous and deterministic under a seed. */
export interface RequestPorts {
    /** Chooses an endpoint outside the excluded ones, or undefined if there is none. */
    choose(excluded: readonly GateRef[]): GateRef | undefined;
    /** Numbers a new attempt. */
    nextId(): AttemptId;
    /** Takes one retry from the budget; false if it is spent. */
    withdrawRetry(): boolean;
}
