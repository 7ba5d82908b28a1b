import { PooledResponse } from "../http/PooledResponse.js";
import { Outcome } from "../model/Outcome.js";
import { RefusalReason } from "../model/RefusalReason.js";
import { AttemptResultKind } from "./AttemptResultKind.js";

/** Result of sending an attempt, or of fetching its answer, over HTTP. */
export type AttemptResult =
    /** The head of an answer has arrived. */
    | { readonly kind: AttemptResultKind.Answer; readonly answer: PooledResponse; readonly outcome: Outcome }
    /** The gate or the backend server refused the attempt. */
    | {
        readonly kind: AttemptResultKind.Refused;
        readonly reason: RefusalReason;
        readonly retryAfterMs: number;
    }
    /** No connection could be opened. */
    | { readonly kind: AttemptResultKind.NotSent }
    /** The exchange ended without a valid answer of the gate. */
    | { readonly kind: AttemptResultKind.Interrupted }
    /** The gate does not have the retained answer. */
    | { readonly kind: AttemptResultKind.Unavailable };
