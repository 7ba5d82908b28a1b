/** Why a gate or an entry refused a request without running it. */
export enum RefusalReason {
    NoRoute = "no-route",
    NoEndpoint = "no-endpoint",
    WrongIncarnation = "wrong-incarnation",
    WrongEndpoint = "wrong-endpoint",
    Duplicate = "duplicate",
    Voided = "voided",
    Draining = "draining",
    Overloaded = "overloaded",
    DeadlinePassed = "deadline-passed",
    CustomerLimit = "customer-limit",
    Quarantined = "quarantined",
    KeyRequired = "key-required",
    KeyBodyMismatch = "key-body-mismatch",
    KeyInUse = "key-in-use",
    NoWitnessMajority = "no-witness-majority",
    NotReady = "not-ready",
    BadRequest = "bad-request",
    /** The backend server failed while the request was in flight. */
    BackendLost = "backend-lost",
    ShedByBackend = "shed-by-backend",
    BackendUnreachable = "backend-unreachable",
}
