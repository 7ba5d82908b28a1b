import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { SettleMode } from "../../model/SettleMode.js";
import { RequestEffectKind } from "./RequestEffectKind.js";
import { RequestTimer } from "./RequestTimer.js";

/** Something that the controller of a request has to do. */
export type RequestEffect =
    /** Enter the attempt at the witnesses of the request's key. */
    | { readonly kind: RequestEffectKind.Claim; readonly id: AttemptId; readonly gate: GateRef }
    /** Give the key up at its witnesses, since the request did not run. */
    | { readonly kind: RequestEffectKind.Release }
    /** Send the request to a gate; `resume` continues an answer that broke off. */
    | { readonly kind: RequestEffectKind.Send; readonly id: AttemptId; readonly gate: GateRef; readonly resume: boolean }
    | {
        readonly kind: RequestEffectKind.Settle;
        readonly id: AttemptId;
        readonly gate: GateRef;
        readonly mode: SettleMode;
    }
    /** Fetch the answer that the gate has retained. */
    | { readonly kind: RequestEffectKind.Fetch; readonly id: AttemptId; readonly gate: GateRef }
    | { readonly kind: RequestEffectKind.Deliver; readonly id: AttemptId }
    /** Drop the connection of an attempt; an answer that still comes is thrown away. */
    | { readonly kind: RequestEffectKind.Cancel; readonly id: AttemptId }
    /** The connection of the attempt is mute while its gate answers. */
    | { readonly kind: RequestEffectKind.SuspectConnection; readonly id: AttemptId; readonly gate: GateRef }
    | { readonly kind: RequestEffectKind.Arm; readonly timer: RequestTimer; readonly atMs: number }
    /** Answer the caller without an answer of a backend server. */
    | {
        readonly kind: RequestEffectKind.Conclude;
        readonly outcome: Outcome;
        readonly reason: RefusalReason | undefined;
        readonly retryAfterMs: number;
    }
    /** Break the caller's connection off, since the answer begun cannot be made whole. */
    | { readonly kind: RequestEffectKind.AbortCaller };
