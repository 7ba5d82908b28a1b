import { EndpointReport } from "./EndpointReport.js";

/** What a proxy says of itself and of the endpoint beside it. Only its owner writes it; the newest of the owner wins. */
export interface GateRecord {
    readonly vm: string;
    readonly failureDomain: string;
    /** `host:port` at which the gate takes work of entries. */
    readonly gateAddress: string;
    /** Orders the runs of the proxy: the later run has the greater number. */
    readonly run: number;
    /** Orders the records of one run. */
    readonly sequence: number;
    /** False once the proxy stops. */
    readonly isOpen: boolean;
    readonly endpoint: EndpointReport | undefined;
}
