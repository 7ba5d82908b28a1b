/** How far a gate trusts the endpoint beside it. */
export enum Grade {
    Trusted = 0,
    /** A failure has been seen lately: no work that must not be repeated if there is a choice. */
    Doubted = 1,
    /** Ejected but for a trickle of repeatable work. */
    Ejected = 2,
}
