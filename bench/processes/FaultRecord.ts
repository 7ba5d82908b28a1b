import { FaultKind } from "./FaultKind.js";

/** One fault that the soak injected. Times are on the clock of the soak. */
export interface FaultRecord {
    readonly kind: FaultKind;
    /** Name of the process. */
    readonly process: string;
    readonly atMs: number;
    /** Exit code or signal with which a process ended. */
    readonly exit: string | undefined;
}
