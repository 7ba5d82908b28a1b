import { EndpointPhase } from "./EndpointPhase.js";

/** Status of a backend server, as reported in one of its heartbeats. */
export interface EndpointReport {
    readonly id: string;
    /** Start of this run of the backend server, in ms since the Unix epoch; 0 if not reported. */
    readonly bornAtMs: number;
    /** Sequence number that increases with each report of one run. */
    readonly sequence: number;
    readonly service: string;
    readonly phase: EndpointPhase;
    /** Number of requests that it runs at the same time. */
    readonly slots: number;
    /** Time for which it remains slow after a cold start. */
    readonly coldRemainingMs: number;
}
