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
        /** Index of the entry that precedes the first one in `entries`. */
        readonly previousIndex: number;
        readonly previousTerm: number;
        readonly entries: readonly LogEntry[];
        readonly commitIndex: number;
        /** Latest round of heartbeats that confirms reads, repeated by the reply; earlier versions have none. */
        readonly round?: number | undefined;
    }
    | {
        readonly kind: QuorumMessageKind.AppendReply;
        readonly accepted: boolean;
        /** If accepted, the last entry known to match the leader's log; otherwise, the last entry that may match. */
        readonly matchIndex: number;
        readonly round?: number | undefined;
    }
    | { readonly kind: QuorumMessageKind.Snapshot; readonly snapshot: QuorumSnapshot }
);
