import type { Readable } from "node:stream";
import { HeaderFields } from "../http/HeaderFields.js";
import { Outcome } from "../model/Outcome.js";

/** An answer that can be delivered: verified in memory, or still streaming. */
export interface ReadyAnswer {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly outcome: Outcome;
    readonly body: Buffer | Readable;
}
