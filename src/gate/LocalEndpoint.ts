import { GateLimits } from "../decisions/gate/GateLimits.js";
import { EndpointState } from "../model/EndpointState.js";
import { Announcement } from "./Announcement.js";
import { GateController } from "./GateController/index.js";

/** An endpoint on this VM. Owned and changed by the endpoint controller only. */
export interface LocalEndpoint {
    readonly announcement: Announcement;
    readonly gate: GateController;
    limits: GateLimits;
    state: EndpointState;
    /** Time at which the lease ends and the endpoint goes out of service unless it announces itself again, in ms. */
    leaseEndsAtMs: number;
}
