/** Result of one run of `runProcessSoak`. */
export interface ProcessSoakReport {
    readonly seed: number;
    readonly requests: number;
    readonly served: number;
    /** Number of signals, starts and ends of processes. */
    readonly faults: number;
    /** Number of abuses by faulty peers. */
    readonly abuses: number;
    /** Highest resident memory of each process, in MB. */
    readonly peaksMb: Readonly<Record<string, number>>;
    /** Highest resident memory of the soak itself, in MB. */
    readonly ownPeakMb: number;
    /** Longest time for which the soak itself did not handle an event, in ms; beside it, its figures of time are inexact. */
    readonly ownDelayMs: number;
    /** One line for each promise that was broken. */
    readonly violations: readonly string[];
    /** Folder with the logs of the processes, or undefined if it was removed. */
    readonly folder: string | undefined;
}
