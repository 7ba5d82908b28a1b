import { AcceptedChange } from "../decisions/configuration/AcceptedChange.js";
import { VersionedItem } from "../decisions/items/VersionedItem.js";
import { QuorumMessage } from "../decisions/quorum/QuorumMessage.js";
import { QuorumSnapshot } from "../decisions/quorum/QuorumSnapshot.js";

/** Callbacks through which the quorum controller sends messages and applies committed entries. */
export interface QuorumCallbacks {
    /** Sends a message to another control VM by its identity. */
    send(to: string, message: QuorumMessage): void;
    /** Applies a committed configuration change. */
    applyChange(change: AcceptedChange): void;
    /** Applies a committed change of configuration items; `position` is its index in the log. */
    applyItems(proposal: string, changes: readonly VersionedItem[], position: number): void;
    /** Replaces the state by a snapshot received from another control VM. */
    restore(snapshot: QuorumSnapshot): void;
    /** Returns the current state, without its position in the log. */
    createSnapshot(): Pick<QuorumSnapshot, "position" | "parts" | "items" | "retained">;
    /** Returns the identities of live control VMs, which receive the log whether they vote or not. */
    learners(): readonly string[];
}
