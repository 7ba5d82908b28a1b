import { HardState } from "./HardState.js";
import { LogEntry } from "./LogEntry.js";
import { QuorumSnapshot } from "./QuorumSnapshot.js";

/** What a control VM reads from its data folder when it starts. */
export interface QuorumState {
    readonly hardState: HardState;
    readonly snapshot: QuorumSnapshot;
    readonly entries: readonly LogEntry[];
}
