import { QuarantineController } from "../controllers/QuarantineController/index.js";
import { GateLimits } from "../decisions/gate/GateLimits.js";
import { EventLog } from "../logs/EventLog/index.js";
import { RetainedAnswerStore } from "./RetainedAnswerStore/index.js";

/** Options of the gate of one endpoint. */
export interface GateOptions {
    readonly endpointId: string;
    /** Incarnation of the gate. */
    readonly gate: string;
    /** Name of the VM, reported to callers. */
    readonly vm: string;
    /** `host:port` of the backend server. */
    readonly backendAddress: string;
    readonly limits: GateLimits;
    /** Status codes by which the backend server signals that it did not run the work. */
    readonly notRunStatuses: readonly number[];
    readonly answers: RetainedAnswerStore;
    readonly quarantine: QuarantineController;
    readonly events: EventLog;
    /** Called when a drain has ended. */
    readonly onDrained: () => void;
}
