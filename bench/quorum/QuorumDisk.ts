import { HardState } from "../../src/decisions/quorum/HardState.js";
import { LogEntry } from "../../src/decisions/quorum/LogEntry.js";
import { QuorumSnapshot } from "../../src/decisions/quorum/QuorumSnapshot.js";

/** What a simulated control VM has on its disk. */
export interface QuorumDisk {
    hardState: HardState;
    snapshot: QuorumSnapshot;
    entries: readonly LogEntry[];
}
