import { LogEntry } from "./LogEntry.js";
import { QuorumMessageKind } from "./QuorumMessageKind.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

/** A message between control VMs. */
export type QuorumMessage = { readonly term: number } & (
    | {
        readonly kind: QuorumMessageKind.PreVote | QuorumMessageKind.Vote;
        readonly lastIndex: number;
        readonly lastTerm: number;
    }
    | { readonly kind: QuorumMessageKind.PreVoteReply | QuorumMessageKind.VoteReply; readonly granted: boolean }
    | {
        readonly kind: QuorumMessageKind.Append;
        /** Entry before the first one sent. */
        readonly previousIndex: number;
        readonly previousTerm: number;
        readonly entries: readonly LogEntry[];
        readonly commitIndex: number;
    }
    | {
        readonly kind: QuorumMessageKind.AppendReply;
        readonly accepted: boolean;
        /** Last entry that is the same at both ends if accepted, else the last one that may be. */
        readonly matchIndex: number;
    }
    | { readonly kind: QuorumMessageKind.Snapshot; readonly snapshot: QuorumSnapshot }
);
