/** Result of one run of `runProcessSoak`. */
export interface ProcessSoakReport {
    readonly seed: number;
    readonly requests: number;
    readonly served: number;
    /** Number of signals, starts and ends of processes. */
    readonly faults: number;
    /** One line for each promise that was broken. */
    readonly violations: readonly string[];
    /** Folder with the logs of the processes, or undefined if it was removed. */
    readonly folder: string | undefined;
}
