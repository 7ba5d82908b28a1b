/** What happened in a simulated run. */
export interface SoakReport {
    readonly seed: number;
    readonly steps: number;
    readonly virtualMs: number;
    readonly requests: number;
    /** Requests that got the whole answer of a backend server. */
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly violations: readonly string[];
}
