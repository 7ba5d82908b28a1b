import { HardState } from "../../src/decisions/quorum/HardState.js";
import { LogEntry } from "../../src/decisions/quorum/LogEntry.js";
import { QuorumSnapshot } from "../../src/decisions/quorum/QuorumSnapshot.js";

/** Content of the disk of a simulated control VM. */
export interface QuorumDisk {
    hardState: HardState;
    snapshot: QuorumSnapshot;
    entries: readonly LogEntry[];
}
