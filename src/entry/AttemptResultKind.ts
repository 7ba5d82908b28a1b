/** What became of an attempt over HTTP. */
export enum AttemptResultKind {
    Answer = "answer",
    Refused = "refused",
    NotSent = "not-sent",
    Broken = "broken",
    Unavailable = "unavailable",
}
