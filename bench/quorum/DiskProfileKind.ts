/** Ways in which a simulated disk syncs. */
export enum DiskProfileKind {
    /** Each sync takes about the same time. */
    Steady = "steady",
    /** Some syncs take much longer than the others. */
    Uneven = "uneven",
    /** No sync ends until the profile changes. */
    Hung = "hung",
}
