import { AttemptId } from "../../model/AttemptId.js";
import { SettleResult } from "../../model/SettleResult.js";
import { ClaimedAttempt } from "./ClaimedAttempt.js";
import { ClaimEventKind } from "./ClaimEventKind.js";
import { WitnessReply } from "./WitnessReply.js";

/** Something that happened to a claim. */
export type ClaimEvent =
    /** The request wants to send an attempt. */
    | { readonly kind: ClaimEventKind.Want; readonly attempt: ClaimedAttempt }
    | { readonly kind: ClaimEventKind.Reply; readonly round: number; readonly vm: string; readonly reply: WitnessReply }
    /** The time for replies, or until the next question to a gate, has passed. */
    | { readonly kind: ClaimEventKind.RoundOver; readonly round: number }
    /** A gate answered about an attempt of another claimant. */
    | { readonly kind: ClaimEventKind.Settled; readonly id: AttemptId; readonly verdict: SettleResult };
