/** A request whose duration is measured. */
export interface TimedRequest {
    /** `host:port`. */
    readonly address: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}
