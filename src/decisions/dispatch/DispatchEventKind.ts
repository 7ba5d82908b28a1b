/** Kinds of input of the dispatch state machine. */
export enum DispatchEventKind {
    /** The request has arrived and is to be dispatched. */
    Begin = "begin",
    /** A gate has replied to an attempt. */
    Reply = "reply",
    /** The delay of a scheduled hedge is over. */
    HedgeDue = "hedge-due",
    /** The deadline of the request has passed. */
    Deadline = "deadline",
    /** The process is stopping: the caller is answered now. */
    Stop = "stop",
    CallerDisconnected = "caller-disconnected",
}
