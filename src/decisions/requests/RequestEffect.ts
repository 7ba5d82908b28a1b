import { AttemptId } from "../../model/AttemptId.js";
import { GateRef } from "../../model/GateRef.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { SettleMode } from "../../model/SettleMode.js";
import { RequestEffectKind } from "./RequestEffectKind.js";
import { RequestTimer } from "./RequestTimer.js";

/** Action that a request machine asks its executor to carry out. */
export type RequestEffect =
    /** Register the attempt with the witnesses of the request's idempotency key. */
    | { readonly kind: RequestEffectKind.Claim; readonly id: AttemptId; readonly gate: GateRef }
    /** Release the idempotency key at its witnesses, because the request did not run. */
    | { readonly kind: RequestEffectKind.Release }
    /** Send the request to a gate; a resumption asks for the rest of an interrupted answer. */
    | { readonly kind: RequestEffectKind.Send; readonly id: AttemptId; readonly gate: GateRef; readonly isResumption: boolean }
    /** Ask the gate what became of the attempt; `SettleMode.Void` also keeps it from starting. */
    | {
        readonly kind: RequestEffectKind.Settle;
        readonly id: AttemptId;
        readonly gate: GateRef;
        readonly mode: SettleMode;
    }
    /** Fetch the answer that the gate retained. */
    | { readonly kind: RequestEffectKind.Fetch; readonly id: AttemptId; readonly gate: GateRef }
    /** Send the attempt's answer to the caller. */
    | { readonly kind: RequestEffectKind.Deliver; readonly id: AttemptId }
    /** Abort the attempt's exchange and discard a late answer. */
    | { readonly kind: RequestEffectKind.Cancel; readonly id: AttemptId }
    /** Retire the attempt's connection: it delivers no answer although the gate replies to settle messages. */
    | { readonly kind: RequestEffectKind.SuspectConnection; readonly id: AttemptId; readonly gate: GateRef }
    | { readonly kind: RequestEffectKind.ArmTimer; readonly timer: RequestTimer; readonly atMs: number }
    /** Answer the caller from the entry itself, without an answer of a backend server. */
    | {
        readonly kind: RequestEffectKind.SendLocalReply;
        readonly outcome: Outcome;
        readonly reason: RefusalReason | undefined;
        readonly retryAfterMs: number;
    }
    /** Reset the caller's connection, because the answer begun cannot be completed. */
    | { readonly kind: RequestEffectKind.AbortCaller };
