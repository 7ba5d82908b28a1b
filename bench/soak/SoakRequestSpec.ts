/** One request of a simulated caller. */
export interface SoakRequestSpec {
    readonly requestId: string;
    readonly workId: string;
    readonly idempotent: boolean;
    /** Idempotency key, or undefined for none. */
    readonly key: string | undefined;
    readonly timeoutMs: number;
}
