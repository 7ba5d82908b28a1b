import { Claim } from "./Claim.js";
import { WitnessRequestKind } from "./WitnessRequestKind.js";

/** Request of a claimant to a witness. */
export type WitnessRequest =
    | {
        readonly kind: WitnessRequestKind.Claim;
        readonly key: string;
        readonly epoch: number;
        readonly claim: Claim;
        /** Keys of attempts of other claimants that are known to be void; a claim with only these may be replaced. */
        readonly voided: readonly string[];
    }
    | { readonly kind: WitnessRequestKind.Release; readonly key: string; readonly claimant: string };
