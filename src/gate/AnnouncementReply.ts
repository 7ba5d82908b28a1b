import { EndpointState } from "../model/EndpointState.js";

/** What the proxy answers to an announcement. */
export interface AnnouncementReply {
    readonly endpointId: string;
    /** State in which the proxy holds the endpoint; Draining tells the backend server to leave. */
    readonly state: EndpointState;
    /** Time after which the endpoint is dropped unless it announces itself again, in ms. */
    readonly leaseMs: number;
    /** True once nothing is in flight and nothing will start any more. */
    readonly mayStop: boolean;
}
