import type { EventEmitter } from "node:events";
import { GateRef } from "../model/GateRef.js";
import { ReadyAnswer } from "./ReadyAnswer.js";

/** Input and output of one attempt. Owned and changed by its request only. */
export interface AttemptExchange {
    readonly gate: GateRef;
    /** Whether it continues an answer that broke off. */
    readonly resume: boolean;
    /** Aborts the exchange by the event `abort`. */
    readonly signal: EventEmitter;
    /** Time at which the connection in use was opened, in ms. */
    connectionBornAtMs: number | undefined;
    answer: ReadyAnswer | undefined;
}
