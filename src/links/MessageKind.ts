/** Kinds of message on a link. */
export enum MessageKind {
    Challenge = "challenge",
    Hello = "hello",
    Welcome = "welcome",
    Heartbeat = "heartbeat",
    Members = "members",
    MemberSummary = "member-summary",
    MemberStamps = "member-stamps",
    Suspicion = "suspicion",
    ConfigurationFetch = "configuration-fetch",
    ConfigurationChanges = "configuration-changes",
    ConfigurationSnapshot = "configuration-snapshot",
    Settle = "settle",
    Verdict = "verdict",
}
