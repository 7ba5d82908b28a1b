/** How an exchange with a backend server ended. */
export enum BackendResultKind {
    Answered = "answered",
    /** No connection could be opened; nothing was sent. */
    NotConnected = "not-connected",
    /** The connection or the answer broke off; the request may have run. */
    Broken = "broken",
}
