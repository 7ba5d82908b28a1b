/** Results of a simulated run. */
export interface SoakReport {
    readonly seed: number;
    readonly steps: number;
    readonly virtualMs: number;
    readonly requests: number;
    /** Requests that received the complete answer of a backend server. */
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly violations: readonly string[];
}
