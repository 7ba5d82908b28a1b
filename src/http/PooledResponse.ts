import type { Readable } from "node:stream";
import { HeaderFields } from "./HeaderFields.js";

/** Status, header fields and body of a response that is received over a pooled connection. */
export interface PooledResponse {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Readable;
    /** Time at which the connection was opened, in ms. */
    readonly connectionOpenedAtMs: number;
}
