/** Kinds of frame on a tunnel. */
export enum FrameKind {
    /** First frame of a gate: which run of the proxy it is. */
    Welcome = "w",
    Offer = "o",
    /** Asks on a new connection for an offer that was made on one that broke. */
    Resume = "u",
    /** Tells a gate to hand an offer with a slot to the endpoint. */
    Go = "g",
    Cancel = "c",
    Reply = "r",
    Ping = "p",
    Pong = "q",
}
