/** What a voter must remember across restarts besides its log. */
export interface HardState {
    /** Highest term heard of. */
    readonly term: number;
    /** Candidate that got this voter's vote in the term, or undefined. */
    readonly votedFor: string | undefined;
}
