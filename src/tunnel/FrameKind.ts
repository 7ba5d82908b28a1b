/** Kinds of frames on a tunnel. */
export enum FrameKind {
    /** First frame from a gate; identifies the run of its proxy, and says whether bodies may come with confirmations. */
    Welcome = "w",
    Offer = "o",
    /** Asks on a new connection for the state of an offer whose connection failed. */
    Resume = "u",
    /** Confirms an offer that was granted a slot, so that the gate sends it to the endpoint; brings a large body. */
    Confirm = "g",
    Cancel = "c",
    Reply = "r",
    /** Head of a long response, in place of the reply that has it whole. */
    Head = "h",
    /** Piece of the body of a long response. */
    Chunk = "d",
    /** End of a long response, with a problem if it is not whole. */
    End = "e",
    /** Allows the gate to send more of a long response. */
    Credit = "k",
    /** Asks the entry for a request for the endpoint, or withdraws that. */
    Invitation = "i",
    /** The same with a packed load, for an entry that has stated its failure domain. */
    PackedInvitation = "j",
    /** Message that concerns no request; a proxy that does not know it ignores it. */
    Message = "m",
    Ping = "p",
    Pong = "q",
}
