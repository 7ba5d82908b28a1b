/** Kind of the requests of a route; determines whether they may be repeated. */
export enum RequestKind {
    /** May run more than once. */
    Repeatable = "repeatable",
    /** May run at most once. */
    Once = "once",
    /** Has a large response; may run more than once. */
    Download = "download",
}
