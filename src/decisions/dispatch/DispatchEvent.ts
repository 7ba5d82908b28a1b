import { GateReply } from "../../tunnel/GateReply.js";
import { DispatchEventKind } from "./DispatchEventKind.js";

/** Input of the dispatch state machine. */
export type DispatchEvent =
    | { readonly kind: DispatchEventKind.Begin }
    | { readonly kind: DispatchEventKind.Reply; readonly attempt: number; readonly reply: GateReply }
    | { readonly kind: DispatchEventKind.HedgeDue; readonly attempt: number }
    | { readonly kind: DispatchEventKind.Deadline }
    | { readonly kind: DispatchEventKind.Stop }
    | { readonly kind: DispatchEventKind.CallerDisconnected };
