import { EventLog } from "../logs/EventLog/index.js";
import { EndpointDialect } from "./EndpointDialect.js";

/** What the gate beside an endpoint is made from. */
export interface ServingGateSetup {
    readonly vm: string;
    /** `host:port` of the backend server. */
    readonly backendAddress: string;
    readonly dialect: EndpointDialect;
    readonly events: EventLog;
    /** Told that the load has changed; urgent if the trust in the endpoint has. */
    readonly onLoad: (isUrgent: boolean) => void;
}
