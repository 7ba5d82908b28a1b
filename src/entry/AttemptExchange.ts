import type { EventEmitter } from "node:events";
import { GateRef } from "../model/GateRef.js";
import { ReadyAnswer } from "./ReadyAnswer.js";

/** HTTP exchange of one attempt with its gate. Owned and changed by the executor of its request only. */
export interface AttemptExchange {
    readonly gate: GateRef;
    /** Whether the attempt resumes an interrupted answer. */
    readonly isResumption: boolean;
    /** Emits `abort` to abort the exchange. */
    readonly signal: EventEmitter;
    /** Time at which the connection in use was opened, in ms; undefined while none is assigned. */
    connectionOpenedAtMs: number | undefined;
    /** Answer that can be delivered; undefined until it has arrived. */
    answer: ReadyAnswer | undefined;
}
