import { EntryContent } from "./EntryContent.js";
import { QuorumEventKind } from "./QuorumEventKind.js";
import { QuorumMessage } from "./QuorumMessage.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

/** An input of the quorum state machine of a control VM. */
export type QuorumEvent =
    | { readonly kind: QuorumEventKind.Tick }
    | { readonly kind: QuorumEventKind.Message; readonly from: string; readonly message: QuorumMessage }
    /** Append an entry; ignored unless this VM is the leader. */
    | { readonly kind: QuorumEventKind.Propose; readonly content: EntryContent }
    /** Start a new log with this VM as its only voter; ignored unless the log is empty. */
    | { readonly kind: QuorumEventKind.Bootstrap }
    /** The writes up to and including a number are synced to disk. */
    | { readonly kind: QuorumEventKind.Persisted; readonly writeNumber: number }
    /** Confirm that this VM still leads, for a read of the state; ignored unless it is a ready leader. */
    | { readonly kind: QuorumEventKind.Read; readonly id: number }
    /** Step down, since the disk hangs; ignored unless this VM is the leader. */
    | { readonly kind: QuorumEventKind.Resign }
    /** Replace the log up to the snapshot's last entry with the snapshot, which holds committed state. */
    | { readonly kind: QuorumEventKind.Compact; readonly snapshot: QuorumSnapshot };
