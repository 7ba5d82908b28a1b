import { EndpointState } from "./EndpointState.js";

/** An endpoint, as announced by its gate. */
export interface EndpointRecord {
    readonly endpointId: string;
    /** Incarnation of the endpoint's gate; changes with each start of the process and each return of the backend server. */
    readonly gate: string;
    readonly service: string;
    readonly state: EndpointState;
    /** Maximum number of requests that the backend server runs concurrently. */
    readonly slots: number;
    /** Maximum number of connections that the backend server accepts. */
    readonly connections: number;
}
