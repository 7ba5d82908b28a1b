import { AttemptId } from "../../model/AttemptId.js";
import { SettleResult } from "../../model/SettleResult.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { ClaimedAttempt } from "../claims/ClaimedAttempt.js";
import { RequestEventKind } from "./RequestEventKind.js";

/** Something that happened to a request at its entry. */
export type RequestEvent =
    | { readonly kind: RequestEventKind.Begin }
    /** A majority of the witnesses holds the attempt under the request's key. */
    | { readonly kind: RequestEventKind.ClaimGranted; readonly id: AttemptId }
    | { readonly kind: RequestEventKind.ClaimDenied; readonly id: AttemptId; readonly reason: RefusalReason }
    /** The request ran already, as an attempt of an earlier request under the same key. */
    | { readonly kind: RequestEventKind.ClaimFound; readonly id: AttemptId; readonly other: ClaimedAttempt }
    /** An attempt of an earlier request under the same key may have run. */
    | { readonly kind: RequestEventKind.ClaimUnknown; readonly id: AttemptId }
    /** The gate or the backend server says that the attempt did not run. */
    | {
        readonly kind: RequestEventKind.Refused;
        readonly id: AttemptId;
        readonly reason: RefusalReason;
        readonly retryAfterMs: number;
    }
    /** No connection to the gate came about, so that nothing was sent. */
    | { readonly kind: RequestEventKind.NotSent; readonly id: AttemptId }
    /** The connection was lost before the answer could be delivered. */
    | { readonly kind: RequestEventKind.Broken; readonly id: AttemptId }
    /** The whole answer arrived, but does not match its digest. */
    | { readonly kind: RequestEventKind.Corrupt; readonly id: AttemptId }
    /** The answer is there: whole, or so long that it is relayed as it comes. */
    | { readonly kind: RequestEventKind.Head; readonly id: AttemptId }
    /** The answer broke off while it was relayed. */
    | { readonly kind: RequestEventKind.BodyBroken; readonly id: AttemptId; readonly resumable: boolean }
    | { readonly kind: RequestEventKind.BodyEnd; readonly id: AttemptId }
    /** The gate does not hold the retained answer any more. */
    | { readonly kind: RequestEventKind.AnswerUnavailable; readonly id: AttemptId }
    | { readonly kind: RequestEventKind.Settled; readonly id: AttemptId; readonly verdict: SettleResult }
    | { readonly kind: RequestEventKind.QueryDue; readonly id: AttemptId }
    | { readonly kind: RequestEventKind.HedgeDue }
    | { readonly kind: RequestEventKind.DeadlineDue }
    | { readonly kind: RequestEventKind.FinalSettleDue }
    | { readonly kind: RequestEventKind.CallerLost };
