/** State of the control VMs from which a leader chooses the next voter change. */
export interface VoterStatus {
    readonly voters: readonly string[];
    /** Identities of the reachable control VMs, voters and non-voters. */
    readonly live: readonly string[];
    /** Voters that have been unreachable for a long time. */
    readonly lost: readonly string[];
    /** Desired number of voters. */
    readonly targetCount: number;
}
