import { QuorumOutput } from "../decisions/quorum/QuorumOutput.js";

/** Callbacks through which the log writer reports what it has done. */
export interface LogWriterCallbacks {
    /** Called in the order of the outputs once they and all earlier ones are synced to disk. */
    handleWritten(outputs: readonly QuorumOutput[]): void;
    /** Called after each write. */
    handleDuration(durationMs: number): void;
    /** Called once if a write fails; nothing is written after it. */
    handleFailure(error: Error): void;
}
