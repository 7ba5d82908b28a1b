import { AttemptId } from "../../model/AttemptId.js";
import { SettleRequest } from "../../model/SettleRequest.js";
import { GateAttempt } from "./GateAttempt.js";
import { GateEventKind } from "./GateEventKind.js";

/** Something that happened at a gate. */
export type GateEvent =
    /** An attempt arrived over HTTP. */
    | { readonly kind: GateEventKind.Arrive; readonly attempt: GateAttempt }
    /** The backend server is done with a started attempt. */
    | { readonly kind: GateEventKind.Finish; readonly id: AttemptId }
    /** The connection that carried the attempt is gone. */
    | { readonly kind: GateEventKind.EntryLost; readonly id: AttemptId }
    /** The entry asks for the state of an attempt. */
    | { readonly kind: GateEventKind.Settle } & SettleRequest
    /** The backend server or the gate is to leave. */
    | { readonly kind: GateEventKind.StartDrain }
    /** Time has passed. */
    | { readonly kind: GateEventKind.Tick };
