import { Claim } from "./Claim.js";
import { WitnessRequestKind } from "./WitnessRequestKind.js";

/** Request from a claimant to a witness. */
export type WitnessRequest =
    | {
        readonly kind: WitnessRequestKind.Claim;
        readonly key: string;
        readonly epoch: number;
        readonly claim: Claim;
        /** Keys of attempts that are known to be void. A claim whose attempts are all void may be replaced. */
        readonly voided: readonly string[];
    }
    | { readonly kind: WitnessRequestKind.Release; readonly key: string; readonly claimant: string };
