/** One abuse of a process. Times are on the clock of the soak. */
export interface AbuseRecord {
    /** Name of the process that is abused. */
    readonly process: string;
    readonly startedAtMs: number;
    /** What was sent, for reports. */
    readonly description: string;
    endedAtMs: number;
    /** True if it consists of proper requests, which may use up what the endpoints can run. */
    readonly isLoad?: boolean;
}
