/** One run of a request at an endpoint. Times are on the clock of the soak. */
export interface RunRecord {
    readonly attemptId: string;
    readonly vm: number;
    readonly callerService: string | undefined;
    /** Organisation that the endpoint was told. */
    readonly tenant?: string;
    /** True if the endpoint got a key. */
    readonly hasKey?: boolean;
    readonly startedAtMs: number;
    /** Time at which the endpoint had its response ready, or undefined if the connection closed before. */
    finishedAtMs: number | undefined;
}
