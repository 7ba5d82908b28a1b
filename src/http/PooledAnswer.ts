import type { Readable } from "node:stream";
import { HeaderFields } from "./HeaderFields.js";

/** Head of an answer over a pooled connection, and its body. */
export interface PooledAnswer {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Readable;
    /** Time at which the connection that carries it was opened, in ms. */
    readonly connectionBornAtMs: number;
}
