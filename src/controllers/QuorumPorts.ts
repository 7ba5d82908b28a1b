import { AcceptedChange } from "../decisions/configuration/AcceptedChange.js";
import { VersionedItem } from "../decisions/items/VersionedItem.js";
import { QuorumMessage } from "../decisions/quorum/QuorumMessage.js";
import { QuorumSnapshot } from "../decisions/quorum/QuorumSnapshot.js";

/** How the quorum of a control VM reaches the others and the configuration. */
export interface QuorumPorts {
    /** Sends to another control VM by its identity. */
    send(to: string, message: QuorumMessage): void;
    /** Applies a committed change. */
    apply(change: AcceptedChange): void;
    /** Applies a committed change of items, which has a position in the log. */
    applyItems(proposal: string, changes: readonly VersionedItem[], position: number): void;
    /** Applies the snapshot of another control VM. */
    restore(snapshot: QuorumSnapshot): void;
    /** Current state, without its position in the log. */
    snapshot(): Pick<QuorumSnapshot, "position" | "parts" | "items" | "retained">;
    /** Identities of live control VMs, which get the log whether they vote or not. */
    learners(): readonly string[];
}
