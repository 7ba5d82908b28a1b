import { EndpointReport } from "./EndpointReport.js";

/** Record that a proxy publishes about its gate and its endpoint. Only that proxy writes it, and its newest version wins. */
export interface GateRecord {
    readonly vm: string;
    readonly failureDomain: string;
    /** `host:port` at which the gate takes requests of entries. */
    readonly gateAddress: string;
    /** Number of the proxy's run, which is greater for later runs. */
    readonly run: number;
    /** Sequence number of the record within the run. */
    readonly sequence: number;
    /** False once the proxy is stopping. */
    readonly isOpen: boolean;
    /** Current report of the endpoint, or undefined if there is none yet. */
    readonly endpoint: EndpointReport | undefined;
    /** Requests per second that this run of the endpoint accepts, or undefined if it has named no limit. */
    readonly limitPerSecond: number | undefined;
}
