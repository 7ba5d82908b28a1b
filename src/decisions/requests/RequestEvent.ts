import { AttemptId } from "../../model/AttemptId.js";
import { SettleResult } from "../../model/SettleResult.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { ClaimedAttempt } from "../claims/ClaimedAttempt.js";
import { RequestEventKind } from "./RequestEventKind.js";

/** Input of a request machine. */
export type RequestEvent =
    /** The request has arrived. */
    | { readonly kind: RequestEventKind.Begin }
    /** A majority of the witnesses has registered the attempt under the request's idempotency key. */
    | { readonly kind: RequestEventKind.ClaimGranted; readonly id: AttemptId }
    /** The key could not be claimed, so the attempt is not sent. */
    | { readonly kind: RequestEventKind.ClaimDenied; readonly id: AttemptId; readonly reason: RefusalReason }
    /** The request has already run: `other` is an attempt of an earlier request with the same key. */
    | { readonly kind: RequestEventKind.ClaimFound; readonly id: AttemptId; readonly other: ClaimedAttempt }
    /** An attempt of an earlier request with the same key may have run. */
    | { readonly kind: RequestEventKind.ClaimUnknown; readonly id: AttemptId }
    /** The gate or the backend server refused the attempt without running it. */
    | {
        readonly kind: RequestEventKind.Refused;
        readonly id: AttemptId;
        readonly reason: RefusalReason;
        readonly retryAfterMs: number;
    }
    /** No connection to the gate could be opened, so nothing was sent. */
    | { readonly kind: RequestEventKind.NotSent; readonly id: AttemptId }
    /** The exchange ended before the answer could be delivered. */
    | { readonly kind: RequestEventKind.Interrupted; readonly id: AttemptId }
    /** The complete answer arrived, but its length or digest does not match. */
    | { readonly kind: RequestEventKind.AnswerCorrupt; readonly id: AttemptId }
    /** The answer can be delivered: it is in memory, or it is long and will be streamed. */
    | { readonly kind: RequestEventKind.AnswerReady; readonly id: AttemptId }
    /** The answer was interrupted while it was being relayed. */
    | { readonly kind: RequestEventKind.DeliveryInterrupted; readonly id: AttemptId; readonly canResume: boolean }
    /** The caller has received the complete answer. */
    | { readonly kind: RequestEventKind.DeliveryCompleted; readonly id: AttemptId }
    /** The gate no longer has the retained answer. */
    | { readonly kind: RequestEventKind.AnswerUnavailable; readonly id: AttemptId }
    /** The gate's verdict on an attempt. */
    | { readonly kind: RequestEventKind.Settled; readonly id: AttemptId; readonly verdict: SettleResult }
    | { readonly kind: RequestEventKind.QueryDue; readonly id: AttemptId }
    | { readonly kind: RequestEventKind.HedgeDue }
    | { readonly kind: RequestEventKind.DeadlineDue }
    /** The time allowed after the deadline for the last verdicts has elapsed. */
    | { readonly kind: RequestEventKind.FinalSettleDue }
    | { readonly kind: RequestEventKind.CallerDisconnected };
