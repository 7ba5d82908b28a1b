import { PooledResponse } from "../http/PooledResponse.js";
import { Outcome } from "../model/Outcome.js";
import { RefusalReason } from "../model/RefusalReason.js";
import { AttemptResultKind } from "./AttemptResultKind.js";

/** What became of an attempt over HTTP. */
export type AttemptResult =
    | { readonly kind: AttemptResultKind.Answer; readonly answer: PooledResponse; readonly outcome: Outcome }
    | {
        readonly kind: AttemptResultKind.Refused;
        readonly reason: RefusalReason;
        readonly retryAfterMs: number;
    }
    /** No connection came about. */
    | { readonly kind: AttemptResultKind.NotSent }
    /** The connection was lost before an answer came. */
    | { readonly kind: AttemptResultKind.Broken }
    /** The gate has not kept the answer. */
    | { readonly kind: AttemptResultKind.Unavailable };
