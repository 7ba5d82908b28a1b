/** Kinds of results of an attempt over HTTP. The values appear in log lines. */
export enum AttemptResultKind {
    Answer = "answer",
    Refused = "refused",
    NotSent = "not-sent",
    Interrupted = "broken",
    Unavailable = "unavailable",
}
