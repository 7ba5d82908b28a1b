import { BackendPort } from "../backend/BackendPort.js";
import { EndpointRun } from "../decisions/fleet/EndpointRun.js";
import { RetryBudgetLimits } from "../decisions/requests/RetryBudgetLimits.js";
import { EventLog } from "../logs/EventLog/index.js";
import { EndpointDialect } from "./EndpointDialect.js";

/** Settings and dependencies of `ServingGate`. */
export interface ServingGateOptions {
    readonly vm: string;
    /** `host:port` of the backend server. */
    readonly backendAddress: string;
    /** Connections to the backend server. */
    readonly backend: BackendPort;
    readonly dialect: EndpointDialect;
    readonly events: EventLog;
    /** Retry budget of the service. */
    readonly retryBudgetLimits: RetryBudgetLimits;
    /** Returns whether an endpoint that slows down when nearly full gets fewer requests at a time; it does without this. */
    readonly adaptsSlots?: () => boolean;
    /** Returns the number of gates that share the budget. */
    readonly countGates: () => number;
    /** Returns whether a repeatable request from this VM, such as a call of the endpoint, has failed since a time. */
    readonly hasFailedCallSince: (sinceMs: number) => boolean;
    /** Called when the load changes; urgent if the grade of the endpoint has changed. */
    readonly onLoadChange: (isUrgent: boolean) => void;
    /** Called when the endpoint states in a response that it leaves. */
    readonly onLeaving: (run: EndpointRun) => void;
    /** Called when an answer shows whether the run of the endpoint that a request was meant for is there. */
    readonly onPresence: (run: EndpointRun, isPresent: boolean) => void;
    /** Called when the limit that the endpoint names has changed; undefined if it names none any more. */
    readonly onLimitChange: (perSecond: number | undefined) => void;
}
