/** A complete response and the time from sending the request to the end of the response body. */
export interface TimedResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    readonly durationMs: number;
}
