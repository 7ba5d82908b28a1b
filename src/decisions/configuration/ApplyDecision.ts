import { AcceptedChange } from "./AcceptedChange.js";
import { ApplyDecisionKind } from "./ApplyDecisionKind.js";

/** What control decides about an apply request. */
export type ApplyDecision =
    | { readonly kind: ApplyDecisionKind.Accept; readonly change: AcceptedChange }
    | { readonly kind: ApplyDecisionKind.Repeat; readonly version: number }
    | {
        readonly kind: ApplyDecisionKind.Conflict;
        /** Manifest version in force. */
        readonly version: number;
        /** Change that won that version. */
        readonly winner: string;
        /** Keys of the parts in which the refused manifest differs from the one in force. */
        readonly differing: readonly string[];
    };
