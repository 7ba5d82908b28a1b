/** State of the quorum, as known to one control VM. */
export interface ControlStatus {
    /** Identity of the VM that reports this status. */
    readonly identity: string;
    /** Identity of the leader; empty if none is known. */
    readonly leader: string;
    readonly term: number;
    readonly voters: readonly string[];
    /** Live control VMs that do not vote. */
    readonly others: readonly string[];
}
