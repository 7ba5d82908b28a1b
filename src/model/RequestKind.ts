/** What a route says may be repeated. */
export enum RequestKind {
    /** May run more than once. */
    Repeatable = "repeatable",
    /** May run at most once. */
    Once = "once",
    /** Large answers; may run more than once. */
    Download = "download",
}
