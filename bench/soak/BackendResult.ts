/** Result of work at a simulated backend server. */
export enum BackendResult {
    Answered = "answered",
    Crashed = "crashed",
    Refused = "refused",
}
