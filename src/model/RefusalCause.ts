/** Why a request was refused before it ran. */
export enum RefusalCause {
    /** All slots are taken and the wait would be too long. */
    Busy = "busy",
    /** The endpoint is ejected, or is doubted and the work must not be repeated. */
    Untrusted = "untrusted",
    /** The endpoint drains, has left, or is not known yet. */
    NotServing = "not-serving",
    /** The endpoint is not the one that was meant. */
    OtherEndpoint = "other-endpoint",
    /** The deadline cannot be met. */
    Deadline = "deadline",
    /** The endpoint said that it did not run the request. */
    Shed = "shed",
    /** No connection to the endpoint or the gate could be opened. */
    Unreachable = "unreachable",
    /** The attempt was given up before it started. */
    Voided = "voided",
    /** The process has no configuration yet. */
    NoConfiguration = "no-configuration",
    /** No endpoint of the service is known. */
    NoEndpoint = "no-endpoint",
    /** The service's retry budget is used up. */
    RetryBudget = "retry-budget",
    /** The request has crashed backend servers. */
    Quarantined = "quarantined",
    /** The process stops. */
    Stopping = "stopping",
}
