import { AttemptId } from "../../model/AttemptId.js";
import { RequestEventKind } from "./RequestEventKind.js";

/** Event that a timer of a request raises when it fires. */
export type RequestTimer =
    | { readonly kind: RequestEventKind.QueryDue; readonly id: AttemptId }
    | { readonly kind: RequestEventKind.HedgeDue }
    | { readonly kind: RequestEventKind.DeadlineDue }
    | { readonly kind: RequestEventKind.FinalSettleDue };
