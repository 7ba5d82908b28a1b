import { GateAttempt } from "../decisions/gate/GateAttempt.js";

/** An attempt as read from the header of its request. */
export interface ReceivedAttempt {
    readonly attempt: GateAttempt;
    readonly endpointId: string;
    readonly requestId: string;
    /** Recognises the request when its caller sends it again. */
    readonly fingerprint: string;
}
