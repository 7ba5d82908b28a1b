/** Costs of a fleet of separate processes. */
export interface FleetCosts {
    readonly proxies: number;
    readonly proxyBytesPerSecond: number;
    readonly proxyProcessorMsPerSecond: number;
    readonly proxyMemoryBytes: number;
    readonly controlBytesPerSecond: number;
    readonly controlProcessorMsPerSecond: number;
    readonly meanLinks: number;
    /** Time from acceptance of a change until it is in force, median over proxies and changes, in ms; polling adds up to 20 ms. */
    readonly inForceMedianMs: number;
    readonly inForceWorstMs: number;
    /** Number of measurements, one per proxy and change. */
    readonly changes: number;
}
