import { GatePort } from "./GatePort.js";

/** Settings and dependencies of `TunnelServer`. */
export interface TunnelServerOptions {
    readonly host: string;
    readonly port: number;
    /** Token that entries present to authenticate. */
    readonly token: string;
    /** Identifies this run of the proxy. */
    readonly gateRun: string;
    readonly gate: GatePort;
    /** Called with each unexpected error, which affects only the frame that caused it. */
    readonly onError: (error: Error) => void;
}
