/** Header fields of the requests and responses of a `FleetModel`. */
export enum ModelHeaderName {
    Limit = "limit",
    Leaving = "leaving",
    /** In a request: the entry that it came from. */
    Entry = "entry",
}
