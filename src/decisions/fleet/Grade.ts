/** Health grade that a gate assigns to its endpoint by the outcomes of its requests. */
export enum Grade {
    /** Takes all requests. */
    Trusted = 0,
    /** Failed recently: gets non-repeatable requests only as probes or as the last resort. */
    Doubted = 1,
    /** Ejected: gets requests only as probes or as the last resort. */
    Ejected = 2,
}
