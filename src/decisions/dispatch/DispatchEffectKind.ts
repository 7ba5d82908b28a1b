/** Kinds of action that the dispatch state machine asks for. */
export enum DispatchEffectKind {
    /** Offer the request to a gate, as a new attempt. */
    Offer = "offer",
    /** Cancel an attempt. */
    Cancel = "cancel",
    /** Raise a `HedgeDue` event at the given time. */
    ScheduleHedge = "schedule-hedge",
    /** Send the endpoint's answer to the caller. */
    Deliver = "deliver",
    /** Answer that the request has not run. */
    Refuse = "refuse",
    /** Answer that there is no result; the request may have run. */
    Fail = "fail",
}
