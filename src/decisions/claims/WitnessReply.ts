import { Claim } from "./Claim.js";
import { Recovery } from "./Recovery.js";
import { WitnessReplyKind } from "./WitnessReplyKind.js";

/** Answer of a witness. */
export type WitnessReply = {
    /** Incarnation of the witness. */
    readonly incarnation: string;
    /** Witnesses that have copied claims from this one. */
    readonly recoveries: readonly Recovery[];
} & (
    | { readonly kind: WitnessReplyKind.Granted }
    | { readonly kind: WitnessReplyKind.Held; readonly claim: Claim }
    | { readonly kind: WitnessReplyKind.Abstains }
);
