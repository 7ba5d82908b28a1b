/** How an exchange with a backend server ended. */
export enum BackendResultKind {
    Answered = "answered",
    /** No connection could be opened; nothing was sent. */
    NotConnected = "not-connected",
    /** The endpoint has not answered requests that take too much memory already; nothing was sent. */
    NotSent = "not-sent",
    /** The connection failed or the response is invalid; the request may have been executed. */
    Broken = "broken",
}
