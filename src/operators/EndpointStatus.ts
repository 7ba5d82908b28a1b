import { EndpointState } from "../model/EndpointState.js";

/** Status of an endpoint, as known to one process. */
export interface EndpointStatus {
    readonly vm: string;
    readonly failureDomain: string;
    readonly endpointId: string;
    readonly service: string;
    readonly state: EndpointState;
    readonly slots: number;
    /** Number of running requests; only set for endpoints on the same VM. */
    readonly running?: number;
    /** Number of requests waiting for a slot; only set for endpoints on the same VM. */
    readonly queued?: number;
    /** True once a drain has completed; only set for endpoints on the same VM. */
    readonly drained?: boolean;
}
