/** Kinds of replies of a gate to an offer. */
export enum GateReplyKind {
    /** The request was not executed, and this gate will not execute it. */
    Refused = "refused",
    /** The request waits for a slot. */
    Queued = "queued",
    /** The request has a slot, and is sent to the endpoint once the entry confirms it. */
    Granted = "granted",
    /** The request was sent to the endpoint. */
    Started = "started",
    /** The endpoint responded. */
    Answered = "answered",
    /** The request may have been executed, but there is no response. */
    Broken = "broken",
}
