import { RefusalReason } from "../../model/RefusalReason.js";
import { SettleMode } from "../../model/SettleMode.js";
import { ClaimedAttempt } from "./ClaimedAttempt.js";
import { ClaimEffectKind } from "./ClaimEffectKind.js";
import { RosterWitness } from "./RosterWitness.js";
import { WitnessRequest } from "./WitnessRequest.js";

/** Something that the controller of a claim has to do. */
export type ClaimEffect =
    | {
        readonly kind: ClaimEffectKind.Ask;
        readonly round: number;
        readonly witness: RosterWitness;
        readonly request: WitnessRequest;
    }
    /** Ask the gate of another claimant's attempt about it. */
    | { readonly kind: ClaimEffectKind.Settle; readonly attempt: ClaimedAttempt; readonly mode: SettleMode }
    | { readonly kind: ClaimEffectKind.ArmRound; readonly round: number; readonly atMs: number }
    /** The attempt may be sent. */
    | { readonly kind: ClaimEffectKind.Granted; readonly attempt: ClaimedAttempt }
    /** The attempt must not be sent; the request did not run under this key. */
    | { readonly kind: ClaimEffectKind.Denied; readonly attempt: ClaimedAttempt; readonly reason: RefusalReason }
    /** The request ran already, as this attempt of another claimant. */
    | { readonly kind: ClaimEffectKind.Found; readonly attempt: ClaimedAttempt; readonly other: ClaimedAttempt }
    /** Another claimant's attempt may have run. */
    | { readonly kind: ClaimEffectKind.Unknown; readonly attempt: ClaimedAttempt };
