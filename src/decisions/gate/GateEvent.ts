import { AttemptId } from "../../model/AttemptId.js";
import { SettleRequest } from "../../model/SettleRequest.js";
import { GateAttempt } from "./GateAttempt.js";
import { GateEventKind } from "./GateEventKind.js";

/** Input of a gate machine. */
export type GateEvent =
    /** An attempt arrived over HTTP. */
    | { readonly kind: GateEventKind.Arrive; readonly attempt: GateAttempt }
    /** The backend server has finished a started attempt. */
    | { readonly kind: GateEventKind.Finish; readonly id: AttemptId }
    /** The entry's connection that carried the attempt was closed. */
    | { readonly kind: GateEventKind.EntryDisconnected; readonly id: AttemptId }
    /** An entry asks what became of an attempt. */
    | { readonly kind: GateEventKind.Settle } & SettleRequest
    /** A drain of the endpoint begins. */
    | { readonly kind: GateEventKind.StartDrain }
    /** Periodic tick for timeouts. */
    | { readonly kind: GateEventKind.Tick };
