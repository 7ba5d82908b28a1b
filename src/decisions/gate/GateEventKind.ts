/** Events that a gate ledger takes. */
export enum GateEventKind {
    Arrive = "arrive",
    Finish = "finish",
    EntryLost = "entry-lost",
    Settle = "settle",
    StartDrain = "start-drain",
    Tick = "tick",
}
