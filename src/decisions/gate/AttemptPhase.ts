/** Life cycle of an attempt at its gate. Refused, Voided and Finished are final. */
export enum AttemptPhase {
    Queued = "queued",
    Started = "started",
    Finished = "finished",
    Refused = "refused",
    Voided = "voided",
}
