/** How fast a faulty peer sends. */
export enum Tempo {
    /** As fast as it is read. */
    Full = "full speed",
    /** Some kilobytes in each tenth of a second. */
    Steady = "steady rate",
    /** One piece in each tenth of a second. */
    Trickle = "trickle",
}
