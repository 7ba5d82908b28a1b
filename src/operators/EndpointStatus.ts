import { EndpointState } from "../model/EndpointState.js";

/** What a process knows of an endpoint. */
export interface EndpointStatus {
    readonly vm: string;
    readonly failureDomain: string;
    readonly endpointId: string;
    readonly service: string;
    readonly state: EndpointState;
    readonly slots: number;
    /** Requests running; known only for endpoints on the own VM. */
    readonly running?: number;
    /** Requests waiting for a slot; known only for endpoints on the own VM. */
    readonly queued?: number;
    /** True once a drain has ended; known only for endpoints on the own VM. */
    readonly drained?: boolean;
}
