import { HardState } from "./HardState.js";
import { LogEntry } from "./LogEntry.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

/** Persisted state that a control VM reads from its data folder at startup. */
export interface QuorumState {
    readonly hardState: HardState;
    readonly snapshot: QuorumSnapshot;
    readonly entries: readonly LogEntry[];
}
