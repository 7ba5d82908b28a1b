import { AttemptId } from "./AttemptId.js";
import { SettleMode } from "./SettleMode.js";

/** Request to a gate for the status of an attempt. */
export interface SettleRequest {
    readonly id: AttemptId;
    /** Incarnation of the intended gate. */
    readonly gate: string;
    /** Low-water mark: lowest sequence that the attempt's entry has not settled; 0 if another entry sends the request. */
    readonly lowWater: number;
    /** Whether the attempt has an idempotency key, so that the gate would still know its outcome. */
    readonly keyed: boolean;
    readonly mode: SettleMode;
}
