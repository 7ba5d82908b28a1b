/** A request to the operator API of a process. */
export interface OperatorRequest {
    /** `host:port` of the API. */
    readonly address: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly token?: string | undefined;
    readonly body?: unknown;
}
