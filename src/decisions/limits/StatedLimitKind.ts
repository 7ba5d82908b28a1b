/** What a response of a backend server says about the rate of requests that it accepts. */
export enum StatedLimitKind {
    /** The response names no limit. */
    None = "none",
    /** The response names a limit that cannot be read. */
    Unreadable = "unreadable",
    /** The response names a rate. */
    Rate = "rate",
}
