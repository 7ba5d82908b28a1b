/** Maximum number of routes whose sizes are kept; more than a configuration usually has. */
const MAX_ROUTES = 512;
/** Weight of the latest response in the moving average: the mean of about the last ten. */
const SIZE_WEIGHT = 0.1;

/**
 * Usual sizes of the response bodies of routes, as one entry has seen them. If there are too many routes, the one whose last
 * response is oldest is dropped, and its size learned again.
 *
 * Designed for routes whose responses differ from some hundred bytes to tens of kilobytes, of which an entry sees a few a second.
 */
export class ResponseSizes {
    /** Mean sizes, the route with the latest response last. */
    private readonly meanBytes = new Map<string, number>();

    private constructor() {}

    /** Creates a table without routes. */
    static create(): ResponseSizes {
        return new ResponseSizes();
    }

    /** Number of routes whose size is known. */
    get count(): number {
        return this.meanBytes.size;
    }

    /**
     * Records a response of an endpoint.
     *
     * @param route - Name of the route.
     * @param lengthBytes - Size of its body.
     */
    recordResponse(route: string, lengthBytes: number): void {
        const meanBytes = this.meanBytes.get(route) ?? lengthBytes;
        this.meanBytes.delete(route);
        this.meanBytes.set(route, meanBytes + SIZE_WEIGHT * (lengthBytes - meanBytes));
        const [oldest] = this.meanBytes.keys();
        if (this.meanBytes.size > MAX_ROUTES && oldest !== undefined) {
            this.meanBytes.delete(oldest);
        }
    }

    /** Returns the usual size of the response bodies of a route; 0 before the first one. */
    usualBytes(route: string): number {
        return Math.round(this.meanBytes.get(route) ?? 0);
    }
}
