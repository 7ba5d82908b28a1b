import { Claim } from "./Claim.js";
import { WitnessReplyKind } from "./WitnessReplyKind.js";

/** Reply of a witness. */
export type WitnessReply =
    | { readonly kind: WitnessReplyKind.Granted }
    | { readonly kind: WitnessReplyKind.Held; readonly claim: Claim }
    | { readonly kind: WitnessReplyKind.Abstains };
