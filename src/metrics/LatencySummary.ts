/** Latency of one series of requests. */
export interface LatencySummary {
    /** `<customer>/<class>`. */
    readonly series: string;
    readonly requests: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}
