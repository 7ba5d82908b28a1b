/** Header fields by which backend servers of a `FleetModel` speak of themselves. */
export enum ModelHeaderName {
    Limit = "limit",
}
