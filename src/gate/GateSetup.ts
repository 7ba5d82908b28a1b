import { QuarantineController } from "../controllers/QuarantineController/index.js";
import { GateLimits } from "../decisions/gate/GateLimits.js";
import { EventLog } from "../logs/EventLog/index.js";
import { RetainedAnswers } from "./RetainedAnswers/index.js";

/** What the gate of one endpoint is made from. */
export interface GateSetup {
    readonly endpointId: string;
    /** Incarnation of the gate. */
    readonly gate: string;
    /** VM name, told to callers. */
    readonly vm: string;
    /** `host:port` of the backend server. */
    readonly backendAddress: string;
    readonly limits: GateLimits;
    /** Status codes by which the backend server says that the work did not run. */
    readonly notRunStatuses: readonly number[];
    readonly answers: RetainedAnswers;
    readonly quarantine: QuarantineController;
    readonly events: EventLog;
    readonly onDrained: () => void;
}
