import { AttemptId } from "./AttemptId.js";
import { SettleMode } from "./SettleMode.js";

/** What a gate is asked about an attempt. */
export interface SettleQuestion {
    readonly id: AttemptId;
    /** Incarnation of the gate that is meant. */
    readonly gate: string;
    /** Lowest sequence that the attempt's entry has not settled; 0 if another entry asks. */
    readonly lowWater: number;
    /** Whether the attempt was made under an idempotency key, so that its fate would still be remembered. */
    readonly keyed: boolean;
    readonly mode: SettleMode;
}
