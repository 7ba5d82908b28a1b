import { AttemptId } from "../../model/AttemptId.js";
import { SettleResult } from "../../model/SettleResult.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { GateEffectKind } from "./GateEffectKind.js";

/** Action that a gate machine asks its controller to carry out. */
export type GateEffect =
    /** Forward the attempt to the backend server. */
    | { readonly kind: GateEffectKind.Start; readonly id: AttemptId }
    /** Refuse the attempt; it has not run. */
    | {
        readonly kind: GateEffectKind.Refuse;
        readonly id: AttemptId;
        readonly reason: RefusalReason;
        readonly retryAfterMs: number;
    }
    /** Abort the request to the backend server. */
    | { readonly kind: GateEffectKind.CancelBackend; readonly id: AttemptId }
    /** Reply to a settle message. */
    | { readonly kind: GateEffectKind.Verdict; readonly id: AttemptId; readonly verdict: SettleResult }
    /** A drain has ended: nothing is running or queued. */
    | { readonly kind: GateEffectKind.Drained };
