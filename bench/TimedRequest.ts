/** A request of an experiment. */
export interface TimedRequest {
    readonly address: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}
