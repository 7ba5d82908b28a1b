/** What a control VM says of the control VMs. */
export interface ControlStatus {
    /** Identity of the VM asked. */
    readonly identity: string;
    /** Identity of the leader; empty if none is known. */
    readonly leader: string;
    readonly term: number;
    readonly voters: readonly string[];
    /** Live control VMs that do not vote. */
    readonly others: readonly string[];
}
