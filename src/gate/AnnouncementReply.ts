import { EndpointState } from "../model/EndpointState.js";

/** Reply of the proxy to an announcement; sent as JSON. */
export interface AnnouncementReply {
    readonly endpointId: string;
    /** State of the endpoint at the proxy; Draining asks the backend server to shut down. */
    readonly state: EndpointState;
    /** Length of the lease, in ms; the endpoint goes out of service unless it announces itself again within it. */
    readonly leaseMs: number;
    /** True once a drain has ended: no work is in flight and none will start. */
    readonly mayStop: boolean;
}
