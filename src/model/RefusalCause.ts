/** Why a request was refused before it ran. */
export enum RefusalCause {
    /** All slots are in use and the wait for one would be too long. */
    Busy = "busy",
    /** The endpoint is ejected, or it is doubted and the request must not be repeated. */
    Untrusted = "untrusted",
    /** The endpoint is draining, has left, or is not known yet. */
    NotServing = "not-serving",
    /** The endpoint is not the intended one. */
    OtherEndpoint = "other-endpoint",
    /** The deadline cannot be met. */
    Deadline = "deadline",
    /** The endpoint reported that it did not run the request. */
    Shed = "shed",
    /** No connection to the endpoint or the gate could be opened. */
    Unreachable = "unreachable",
    /** The attempt was cancelled before it started. */
    Voided = "voided",
    /** The process has no configuration yet. */
    NoConfiguration = "no-configuration",
    /** No endpoint of the service is known. */
    NoEndpoint = "no-endpoint",
    /** The retry budget of the service is exhausted. */
    RetryBudget = "retry-budget",
    /** The request has crashed backend servers. */
    Quarantined = "quarantined",
    /** The organisation of the caller is above its quota. */
    Quota = "quota",
    /** The process is stopping. */
    Stopping = "stopping",
}
