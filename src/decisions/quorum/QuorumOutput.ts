import { HardState } from "./HardState.js";
import { LogEntry } from "./LogEntry.js";
import { QuorumMessage } from "./QuorumMessage.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

/**
 * What a control VM has to do after an event, in this order: make durable, then send, then apply. Nothing may be sent
 * before all that is to be durable is synced.
 */
export interface QuorumOutput {
    /** State to make durable, if it changed. */
    readonly hardState: HardState | undefined;
    /** Snapshot to make durable in place of the log up to it. */
    readonly snapshot: QuorumSnapshot | undefined;
    /** Entries to make durable; the first one replaces all from its index on. */
    readonly entries: readonly LogEntry[];
    readonly messages: readonly { readonly to: string; readonly message: QuorumMessage }[];
    /** Entries that are now committed, in order. */
    readonly committed: readonly LogEntry[];
    /** Snapshot of another VM to apply in place of entries that were missed. */
    readonly restored: QuorumSnapshot | undefined;
}
