import { GateAttempt } from "../decisions/gate/GateAttempt.js";

/** An attempt as read from the header fields of its request. */
export interface ReceivedAttempt {
    readonly attempt: GateAttempt;
    readonly endpointId: string;
    readonly requestId: string;
    /** Identifies the request when its caller sends it again. */
    readonly fingerprint: string;
}
