/** A service of a route with its weight in the traffic split. */
export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}
