/** What a leader knows of the control VMs when it looks at who votes. */
export interface VoterSituation {
    readonly voters: readonly string[];
    /** Identities of the control VMs that answer, voters or not. */
    readonly live: readonly string[];
    /** Voters that have not answered for long. */
    readonly lost: readonly string[];
    /** Number of voters to aim for. */
    readonly wanted: number;
}
