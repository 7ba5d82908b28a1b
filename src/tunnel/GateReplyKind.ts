/** What a gate says of an offer. */
export enum GateReplyKind {
    /** It has not run and never will here. */
    Refused = "refused",
    /** It waits for a slot. */
    Queued = "queued",
    /** It has a slot, and is handed to the endpoint once the entry says so. */
    Granted = "granted",
    /** It was handed to the endpoint. */
    Started = "started",
    /** The endpoint answered. */
    Answered = "answered",
    /** It may have run, and there is no answer. */
    Broken = "broken",
}
