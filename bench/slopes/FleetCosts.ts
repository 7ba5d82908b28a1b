/** What a fleet of separate processes costs. */
export interface FleetCosts {
    readonly proxies: number;
    readonly proxyBytesPerSecond: number;
    readonly proxyProcessorMsPerSecond: number;
    readonly proxyMemoryBytes: number;
    readonly controlBytesPerSecond: number;
    readonly controlProcessorMsPerSecond: number;
    readonly meanLinks: number;
    /** Time from acceptance to in force, median over proxies and changes, in ms; polling adds up to 20 ms. */
    readonly inForceMedianMs: number;
    readonly inForceWorstMs: number;
    /** Proxies times changes measured. */
    readonly changes: number;
}
