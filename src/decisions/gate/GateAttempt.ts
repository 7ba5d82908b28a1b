import { AttemptId } from "../../model/AttemptId.js";
import { ServiceClass } from "../../model/ServiceClass.js";

/** An attempt as it arrives at its gate. */
export interface GateAttempt {
    readonly id: AttemptId;
    /** Lowest sequence number that the entry has not settled; all attempts below it are final. */
    readonly lowWater: number;
    /** Gate incarnation to which the entry addressed the attempt. */
    readonly gate: string;
    readonly customer: string;
    readonly serviceClass: ServiceClass;
    /** Whether the request can safely run more than once. */
    readonly isIdempotent: boolean;
    /** Whether the request carries an idempotency key, so that its phase is kept for later claimants. */
    readonly keyed: boolean;
    /** Deadline on the gate's clock, in ms; the caller does not wait longer. */
    readonly deadlineAtMs: number;
}
