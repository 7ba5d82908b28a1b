import { HeaderFields } from "../http/HeaderFields.js";
import { Outcome } from "../model/Outcome.js";

/** A complete answer that a gate retains in case it is lost in transit to the entry. */
export interface RetainedAnswer {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Buffer;
    readonly outcome: Outcome;
}
