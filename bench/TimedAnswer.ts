/** Answer to a request of an experiment. */
export interface TimedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    readonly durationMs: number;
}
