/** A call to the operators' interface of a process. */
export interface OperatorCall {
    /** `host:port` of the interface. */
    readonly address: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly token?: string | undefined;
    readonly body?: unknown;
}
