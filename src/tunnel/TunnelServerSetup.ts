import { WorkPort } from "./WorkPort.js";

/** What the gate's end of the tunnels is made from. */
export interface TunnelServerSetup {
    readonly host: string;
    readonly port: number;
    /** Token that entries have to show. */
    readonly token: string;
    /** Names this run of the proxy. */
    readonly gateRun: string;
    readonly gate: WorkPort;
}
