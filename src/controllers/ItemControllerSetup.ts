import { VersionedItem } from "../decisions/items/VersionedItem.js";
import { QuorumMessage } from "../decisions/quorum/QuorumMessage.js";

/** How the controller of the configuration items reaches the rest of its process. */
export interface ItemControllerSetup {
    /** Voters that are needed before a change is accepted. */
    readonly minVoters: number;
    /** Sends to another control VM by its identity. */
    send(to: string, message: QuorumMessage): void;
    /** Identities of live control VMs. */
    learners(): readonly string[];
    /** Told of items that are in force. */
    onItems(items: readonly VersionedItem[]): void;
}
