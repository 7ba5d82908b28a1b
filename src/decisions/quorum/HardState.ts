/** State that a voter keeps across restarts in addition to its log. */
export interface HardState {
    /** Highest term seen. */
    readonly term: number;
    /** Candidate that this voter voted for in the term, or undefined. */
    readonly votedFor: string | undefined;
}
