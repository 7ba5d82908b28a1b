/** Things that happen to a request. */
export enum CourseEventKind {
    Begin = "begin",
    Reply = "reply",
    /** The time of a hedge has come. */
    Hedge = "hedge",
    Deadline = "deadline",
    CallerGone = "caller-gone",
}
