/** Kinds of `QuotaEffect`. */
export enum QuotaEffectKind {
    Ask = "ask",
    Decide = "decide",
    ContactChanged = "contact-changed",
    RefusalsChanged = "refusals-changed",
}
