import { AttemptId } from "../../model/AttemptId.js";
import { RequestEventKind } from "./RequestEventKind.js";

/** Timer of a request: the event that it raises when it is due. */
export type RequestTimer =
    | { readonly kind: RequestEventKind.QueryDue; readonly id: AttemptId }
    | { readonly kind: RequestEventKind.HedgeDue }
    | { readonly kind: RequestEventKind.DeadlineDue }
    | { readonly kind: RequestEventKind.FinalSettleDue };
