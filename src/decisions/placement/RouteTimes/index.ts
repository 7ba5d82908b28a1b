/** Maximum number of routes whose times are kept; more than a configuration usually has. */
const MAX_ROUTES = 512;
/** Weight of the latest request in the moving average. */
const RATIO_WEIGHT = 0.1;
/** Number of requests as long as the mean that are assumed before the first one, so that a single odd one means little. */
const ASSUMED_REQUESTS = 2;
/** Bounds of the ratio of one request; a longer one has met a pause, not more work. */
const MIN_RATIO = 0.05;
const MAX_RATIO = 20;
/** Ratio up to which the requests of a route count as long as those of the whole service: single ones differ by some 30 %. */
const MAX_USUAL_RATIO = 1.25;

interface RouteTime {
    readonly ratio: number;
    readonly requests: number;
}

/**
 * How long the requests of each route run in proportion to the mean over all requests of the same endpoint, as one entry has
 * seen it. Endpoints report only the mean, and one of calls of 0.2 s and requests of 1 s fits neither.
 *
 * A proportion holds for fast and slow endpoints alike. It is 1 for routes whose requests run about as long as the mean, so
 * that nothing changes for services with work of one kind. If there are too many routes, the one seen longest ago is dropped.
 */
export class RouteTimes {
    /** Routes in the order of their latest request. */
    private readonly times = new Map<string, RouteTime>();

    private constructor() {}

    /** Creates a table without routes. */
    static create(): RouteTimes {
        return new RouteTimes();
    }

    /** Number of routes whose times are known. */
    get count(): number {
        return this.times.size;
    }

    /**
     * Records a request that an endpoint has answered.
     *
     * @param route - Name of the route.
     * @param runMs - Time that it ran.
     * @param meanMs - Mean time that the endpoint reports for all its requests.
     */
    recordRequest(route: string, runMs: number, meanMs: number): void {
        const { ratio, requests } = this.times.get(route) ?? { ratio: 1, requests: 0 };
        const latestRatio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, runMs / Math.max(1, meanMs)));
        const weight = Math.max(RATIO_WEIGHT, 1 / (requests + ASSUMED_REQUESTS + 1));
        this.times.delete(route);
        this.times.set(route, { ratio: ratio + weight * (latestRatio - ratio), requests: requests + 1 });
        const [oldest] = this.times.keys();
        if (this.times.size > MAX_ROUTES && oldest !== undefined) {
            this.times.delete(oldest);
        }
    }

    /** Returns how long a request of a route runs in proportion to the mean of its endpoint. */
    ratioOf(route: string): number {
        const ratio = this.times.get(route)?.ratio ?? 1;
        return ratio > MAX_USUAL_RATIO || ratio < 1 / MAX_USUAL_RATIO ? ratio : 1;
    }
}
