import { HardState } from "./HardState.js";
import { LogEntry } from "./LogEntry.js";
import { QuorumMessage } from "./QuorumMessage.js";
import { QuorumNotice } from "./QuorumNotice.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

interface AddressedMessage {
    readonly to: string;
    readonly message: QuorumMessage;
}

/**
 * Work for the caller after an event. The state of outputs is persisted in their order, and reported by a `Persisted` event; meanwhile
 * the machine takes further events.
 */
export interface QuorumOutput {
    /** Number of the write if there is state to persist, counted up from 1; otherwise undefined. */
    readonly writeNumber: number | undefined;
    /** State to persist, or undefined if unchanged. */
    readonly hardState: HardState | undefined;
    /** Snapshot to persist in place of the log entries that it covers. */
    readonly snapshot: QuorumSnapshot | undefined;
    /** Entries to persist; they replace all stored entries from the first one's index on. */
    readonly entries: readonly LogEntry[];
    /** Entries after the snapshot, which replace the stored log; empty if there is no snapshot. */
    readonly remaining: readonly LogEntry[];
    /** Messages that promise nothing that is not persisted yet, to send at once. */
    readonly messages: readonly AddressedMessage[];
    /** Messages to send once this output and all earlier ones are synced to disk. */
    readonly durableMessages: readonly AddressedMessage[];
    /** Newly committed entries to apply, in log order. */
    readonly committed: readonly LogEntry[];
    /** Snapshot received from the leader, to apply in place of the entries that it covers. */
    readonly receivedSnapshot: QuorumSnapshot | undefined;
    /** Ids of reads that may be served once the committed entries are applied. */
    readonly confirmedReads: readonly number[];
    /** Steps of elections, for the log of an operator. */
    readonly notices: readonly QuorumNotice[];
}
