/** State of a voter as its leader sees it. */
export enum VoterState {
    /** It replies to the leader. */
    Live = "live",
    /** It does not reply; it may come back. */
    Silent = "silent",
    /** It has not replied for longer than a restart takes. */
    Lost = "lost",
    /** Its VM has come back with another data folder; the identity will never reply again. */
    Superseded = "superseded",
}
