import { RefusalReason } from "../../model/RefusalReason.js";
import { SettleMode } from "../../model/SettleMode.js";
import { ClaimedAttempt } from "./ClaimedAttempt.js";
import { ClaimEffectKind } from "./ClaimEffectKind.js";
import { RosterWitness } from "./RosterWitness.js";
import { WitnessRequest } from "./WitnessRequest.js";

/** An action that a claim machine requests from its controller. */
export type ClaimEffect =
    | {
        readonly kind: ClaimEffectKind.SendRequest;
        readonly round: number;
        readonly witness: RosterWitness;
        readonly request: WitnessRequest;
    }
    /** Ask the gate of another claimant's attempt for the attempt's outcome. */
    | { readonly kind: ClaimEffectKind.Settle; readonly attempt: ClaimedAttempt; readonly mode: SettleMode }
    | { readonly kind: ClaimEffectKind.StartRoundTimer; readonly round: number; readonly atMs: number }
    /** The attempt may be sent. */
    | { readonly kind: ClaimEffectKind.Granted; readonly attempt: ClaimedAttempt }
    /** The attempt must not be sent; the request has not run under this key. */
    | { readonly kind: ClaimEffectKind.Denied; readonly attempt: ClaimedAttempt; readonly reason: RefusalReason }
    /** The request has already run, as attempt `other` of another claimant. */
    | { readonly kind: ClaimEffectKind.AlreadyExecuted; readonly attempt: ClaimedAttempt; readonly other: ClaimedAttempt }
    /** Another claimant's attempt may have run. */
    | { readonly kind: ClaimEffectKind.OutcomeUnknown; readonly attempt: ClaimedAttempt };
