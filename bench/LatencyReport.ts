/** Quantiles of a latency measurement. The added time is the proxied quantile minus the same direct quantile. */
export interface LatencyReport {
    readonly lookups: number;
    readonly ratePerSecond: number;
    readonly directP50Ms: number;
    readonly directP99Ms: number;
    readonly proxiedP50Ms: number;
    readonly proxiedP99Ms: number;
    readonly addedP50Ms: number;
    readonly addedP99Ms: number;
}
