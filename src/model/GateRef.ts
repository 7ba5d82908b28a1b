/** Reference to an endpoint and the incarnation of its gate. */
export interface GateRef {
    /** VM on which the gate and the endpoint run. */
    readonly vm: string;
    /** Incarnation of the gate. */
    readonly gate: string;
    /** Endpoint behind the gate. */
    readonly endpointId: string;
    /** Failure domain of the VM. */
    readonly failureDomain: string;
    /** `host:port` at which the gate accepts attempts over HTTP. */
    readonly gateAddress: string;
    /** `host:port` at which the gate's process accepts links. */
    readonly linkAddress: string;
}
