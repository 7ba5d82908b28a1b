/** Kinds of `QuotaEffect`. */
export enum QuotaEffectKind {
    Ask = "ask",
    Decide = "decide",
    FindRelays = "find-relays",
    RelaySilent = "relay-silent",
    ContactChanged = "contact-changed",
    RefusalsChanged = "refusals-changed",
}
