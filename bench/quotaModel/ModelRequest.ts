/** A request of the model and its end. */
export interface ModelRequest {
    readonly organisation: string;
    readonly sentAtMs: number;
    /** Time of the decision, in ms. */
    readonly decidedAtMs: number;
    readonly isAdmitted: boolean;
    /** False if an endpoint has refused it. */
    readonly hasRun: boolean;
    /** Time after which the caller may come back, in ms; 0 if it was admitted. */
    readonly retryAfterMs: number;
    /** True if its caller has come back after the time it was told. */
    readonly isReturn: boolean;
}
