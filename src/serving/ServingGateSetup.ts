import { RetryBudgetTerms } from "../decisions/requests/RetryBudgetTerms.js";
import { EventLog } from "../logs/EventLog/index.js";
import { EndpointDialect } from "./EndpointDialect.js";

/** What the gate beside an endpoint is made from. */
export interface ServingGateSetup {
    readonly vm: string;
    /** `host:port` of the backend server. */
    readonly backendAddress: string;
    readonly dialect: EndpointDialect;
    readonly events: EventLog;
    /** Retry budget of the service. */
    readonly retryTerms: RetryBudgetTerms;
    /** Number of gates that share the budget. */
    readonly countGates: () => number;
    /** Tells whether a repeatable request that began on this VM, as calls of the endpoint do, has failed since a time. */
    readonly hasFailedCallSince: (sinceMs: number) => boolean;
    /** Told that the load has changed; urgent if the trust in the endpoint has. */
    readonly onLoad: (isUrgent: boolean) => void;
}
