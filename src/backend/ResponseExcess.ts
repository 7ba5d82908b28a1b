import { ResponseLimitKind } from "./ResponseLimitKind.js";

/** What a response has exceeded. */
export interface ResponseExcess {
    readonly kind: ResponseLimitKind;
    /** What is held or was declared, in the unit of the limit: bytes, chunks or fields. */
    readonly held: number;
    readonly limit: number;
}
