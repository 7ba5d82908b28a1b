import { HeaderFields } from "../http/HeaderFields.js";
import { Outcome } from "../model/Outcome.js";

/** A whole answer that a gate keeps, in case it was lost on its way to the entry. */
export interface RetainedAnswer {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Buffer;
    readonly outcome: Outcome;
}
