/** What a gate does with a request. */
export enum AdmissionKind {
    Start = "start",
    Queue = "queue",
    Refuse = "refuse",
}
