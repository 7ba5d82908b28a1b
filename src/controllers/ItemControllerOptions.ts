import { VersionedItem } from "../decisions/items/VersionedItem.js";
import { QuorumMessage } from "../decisions/quorum/QuorumMessage.js";

/** Options and callbacks of the item controller. */
export interface ItemControllerOptions {
    /** Number of voters required before changes are accepted. */
    readonly minVoters: number;
    /** Sends a message to another control VM by its identity. */
    send(to: string, message: QuorumMessage): void;
    /** Returns the identities of live control VMs, which receive the log whether they vote or not. */
    learners(): readonly string[];
    /** Called with items that have taken effect. */
    onItems(items: readonly VersionedItem[]): void;
}
