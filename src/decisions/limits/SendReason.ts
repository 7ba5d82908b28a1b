/** Why a request is sent to an endpoint. */
export enum SendReason {
    /** The request has reached no endpoint before. */
    First = "first",
    /** The request has reached another endpoint before. */
    Repeat = "repeat",
    /** The request tests the endpoint. */
    Probe = "probe",
    /** No better endpoint is left. */
    LastResort = "last-resort",
    /** The same request again on a new connection, since the first one was stale. */
    Resend = "resend",
}
