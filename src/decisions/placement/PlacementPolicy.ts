/** How requests are placed. */
export enum PlacementPolicy {
    /** Where the answer is expected soonest; large bodies avoid other failure domains by a fixed penalty. */
    Soonest = "soonest",
    /** In the entry's failure domain while the latency target is met there, by the bytes that would cross and the endpoints' speed. */
    NearestInTime = "nearest-in-time",
}
