import { AttemptId } from "../../model/AttemptId.js";
import { SettleResult } from "../../model/SettleResult.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { GateEffectKind } from "./GateEffectKind.js";

/** Something that the controller of a gate has to do. */
export type GateEffect =
    | { readonly kind: GateEffectKind.Start; readonly id: AttemptId }
    | {
        readonly kind: GateEffectKind.Refuse;
        readonly id: AttemptId;
        readonly reason: RefusalReason;
        readonly retryAfterMs: number;
    }
    | { readonly kind: GateEffectKind.CancelBackend; readonly id: AttemptId }
    | { readonly kind: GateEffectKind.Verdict; readonly id: AttemptId; readonly verdict: SettleResult }
    | { readonly kind: GateEffectKind.Drained };
