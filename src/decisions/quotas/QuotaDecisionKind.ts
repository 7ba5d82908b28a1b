/** Kinds of `QuotaDecision`. */
export enum QuotaDecisionKind {
    Granted = "granted",
    Refused = "refused",
}
