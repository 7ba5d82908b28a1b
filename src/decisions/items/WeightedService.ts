/** A service and its share of a route's requests. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}
