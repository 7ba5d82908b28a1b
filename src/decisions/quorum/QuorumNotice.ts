import { QuorumNoticeKind } from "./QuorumNoticeKind.js";
import { StepDownReason } from "./StepDownReason.js";
import { VoteRefusal } from "./VoteRefusal.js";

/** A step of an election, for the log of an operator. */
export type QuorumNotice = { readonly term: number } & (
    /** This VM asks for votes, in a pre-vote or in an election. */
    | { readonly kind: QuorumNoticeKind.RoundStarted; readonly isPreVote: boolean }
    /** The votes of a round that has ended without a majority; `missing` voters have not granted theirs. */
    | {
        readonly kind: QuorumNoticeKind.RoundLost;
        readonly isPreVote: boolean;
        readonly granted: readonly string[];
        readonly missing: readonly string[];
    }
    | { readonly kind: QuorumNoticeKind.VoteRefused; readonly isPreVote: boolean; readonly candidate: string; readonly reason: VoteRefusal }
    /** This VM has stopped leading; `silent` voters have not replied within the election timeout. */
    | { readonly kind: QuorumNoticeKind.SteppedDown; readonly reason: StepDownReason; readonly silent: readonly string[] }
);
