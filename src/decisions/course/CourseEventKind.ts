/** Things that happen to a request. */
export enum CourseEventKind {
    Begin = "begin",
    Reply = "reply",
    /** The time of a hedge has come. */
    Hedge = "hedge",
    Deadline = "deadline",
    /** The process ends: the caller is answered now. */
    Stop = "stop",
    CallerGone = "caller-gone",
}
