import { EndpointState } from "./EndpointState.js";

/** One endpoint as announced by its own gate. */
export interface EndpointRecord {
    readonly endpointId: string;
    /** Incarnation of the endpoint's gate: new with each process and each return of the backend server. */
    readonly gate: string;
    readonly service: string;
    readonly state: EndpointState;
    /** Requests that the backend server runs at the same time. */
    readonly slots: number;
    /** Connections that the backend server accepts. */
    readonly connections: number;
}
