/** Kinds of events that a gate machine handles. */
export enum GateEventKind {
    Arrive = "arrive",
    Finish = "finish",
    EntryDisconnected = "entry-disconnected",
    Settle = "settle",
    StartDrain = "start-drain",
    Tick = "tick",
}
