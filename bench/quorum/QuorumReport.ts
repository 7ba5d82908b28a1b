/** Results of a simulated run of control VMs. */
export interface QuorumReport {
    readonly seed: number;
    readonly steps: number;
    readonly virtualMs: number;
    /** Leaders elected. */
    readonly elections: number;
    /** Entries committed. */
    readonly committed: number;
    /** Reads that a leader confirmed. */
    readonly reads: number;
    /** VMs that returned with an empty disk and were replaced as voters. */
    readonly replaced: number;
    readonly violations: readonly string[];
}
