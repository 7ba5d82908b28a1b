import { AttemptId } from "../../model/AttemptId.js";
import { SettleResult } from "../../model/SettleResult.js";
import { ClaimedAttempt } from "./ClaimedAttempt.js";
import { ClaimEventKind } from "./ClaimEventKind.js";
import { WitnessReply } from "./WitnessReply.js";

/** An input of a claim machine. */
export type ClaimEvent =
    /** The request needs the key for a new attempt. */
    | { readonly kind: ClaimEventKind.AttemptRequested; readonly attempt: ClaimedAttempt }
    | { readonly kind: ClaimEventKind.Reply; readonly round: number; readonly vm: string; readonly reply: WitnessReply }
    /** The timer of a round, of a retry, or of the next query to a gate has expired. */
    | { readonly kind: ClaimEventKind.RoundTimeout; readonly round: number }
    /** A gate reported the outcome of an attempt of another claimant. */
    | { readonly kind: ClaimEventKind.VerdictReceived; readonly id: AttemptId; readonly verdict: SettleResult };
