/** Latency percentiles of one series of requests. */
export interface LatencySummary {
    /** Name of the series: `<customer>/<class>`. */
    readonly series: string;
    readonly requests: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}
