import { AttemptId } from "../../model/AttemptId.js";
import { ServiceClass } from "../../model/ServiceClass.js";

/** An attempt as its gate sees it. */
export interface GateAttempt {
    readonly id: AttemptId;
    /** Lowest sequence that the entry has not settled; everything below is final. */
    readonly lowWater: number;
    /** Gate incarnation for which the entry meant the attempt. */
    readonly gate: string;
    readonly customer: string;
    readonly serviceClass: ServiceClass;
    readonly idempotent: boolean;
    /** Whether the request carries an idempotency key, so that its fate is kept for later claimants. */
    readonly keyed: boolean;
    /** Time on the gate's clock after which the caller no longer waits, in ms. */
    readonly deadlineAtMs: number;
}
