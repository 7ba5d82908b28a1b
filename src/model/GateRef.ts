/** Names one endpoint and the gate incarnation that guards it. */
export interface GateRef {
    /** VM on which gate and endpoint run. */
    readonly vm: string;
    /** Incarnation of the gate. */
    readonly gate: string;
    /** Endpoint at that gate. */
    readonly endpointId: string;
    /** Failure domain of the VM. */
    readonly failureDomain: string;
    /** `host:port` where the gate takes attempts over HTTP. */
    readonly gateAddress: string;
    /** `host:port` where the gate's process takes links. */
    readonly linkAddress: string;
}
