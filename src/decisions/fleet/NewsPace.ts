/** Shortest times between two messages of one kind to the same process. */
export interface NewsPace {
    /** Records of gates. */
    readonly recordsMs: number;
    /** Loads that changed. */
    readonly loadsMs: number;
    /** Changes of the trust in an endpoint. */
    readonly gradesMs: number;
}
