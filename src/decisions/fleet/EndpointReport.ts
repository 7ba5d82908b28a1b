import { EndpointPhase } from "./EndpointPhase.js";

/** What a backend server says of itself in one of its heartbeats. */
export interface EndpointReport {
    readonly id: string;
    /** Start of this run of the backend server, in ms since the Unix epoch; 0 if it does not say. */
    readonly bornAtMs: number;
    /** Increases with each report of one run. */
    readonly sequence: number;
    readonly service: string;
    readonly phase: EndpointPhase;
    readonly slots: number;
    /** Time for which it stays slow after its start. */
    readonly coldRemainingMs: number;
}
