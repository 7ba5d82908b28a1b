/** How an exchange with a backend server ended. */
export enum BackendResultKind {
    Answered = "answered",
    /** No connection could be opened; nothing was sent. */
    NotConnected = "not-connected",
    /** The connection failed or the response is invalid; the request may have been executed. */
    Broken = "broken",
}
