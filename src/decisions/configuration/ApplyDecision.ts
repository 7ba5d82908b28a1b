import { AcceptedChange } from "./AcceptedChange.js";
import { ApplyDecisionKind } from "./ApplyDecisionKind.js";

/** Result of an apply request. */
export type ApplyDecision =
    | { readonly kind: ApplyDecisionKind.Accept; readonly change: AcceptedChange }
    | { readonly kind: ApplyDecisionKind.Repeat; readonly version: number }
    | {
        readonly kind: ApplyDecisionKind.Conflict;
        /** Current manifest version. */
        readonly version: number;
        /** Identity of the change that created that version. */
        readonly winner: string;
        /** Keys of the parts in which the rejected manifest differs from the current one. */
        readonly differing: readonly string[];
    };
