import { HardState } from "./HardState.js";
import { LogEntry } from "./LogEntry.js";
import { QuorumMessage } from "./QuorumMessage.js";
import { QuorumNotice } from "./QuorumNotice.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

/**
 * Work for the caller after an event, in this order: persist the state, send the messages, apply the committed entries.
 * No message may be sent before the state is synced to disk.
 */
export interface QuorumOutput {
    /** State to persist, or undefined if unchanged. */
    readonly hardState: HardState | undefined;
    /** Snapshot to persist in place of the log entries that it covers. */
    readonly snapshot: QuorumSnapshot | undefined;
    /** Entries to persist; they replace all stored entries from the first one's index on. */
    readonly entries: readonly LogEntry[];
    readonly messages: readonly { readonly to: string; readonly message: QuorumMessage }[];
    /** Newly committed entries to apply, in log order. */
    readonly committed: readonly LogEntry[];
    /** Snapshot received from the leader, to apply in place of the entries that it covers. */
    readonly receivedSnapshot: QuorumSnapshot | undefined;
    /** Steps of elections, for the log of an operator. */
    readonly notices: readonly QuorumNotice[];
}
