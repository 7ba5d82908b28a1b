import type { EventEmitter } from "node:events";
import type { Readable } from "node:stream";
import { AttemptId } from "../model/AttemptId.js";
import { GateRef } from "../model/GateRef.js";
import { ServiceClass } from "../model/ServiceClass.js";

/** An attempt to be sent to a gate. */
export interface OutgoingAttempt {
    readonly id: AttemptId;
    readonly lowWater: number;
    readonly gate: GateRef;
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    /** Header fields of the caller, without those that are not passed on. */
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | Readable | undefined;
    readonly fingerprint: string;
    readonly customer: string;
    readonly serviceClass: ServiceClass;
    readonly idempotent: boolean;
    readonly keyed: boolean;
    /** Time that the caller still waits, in ms. */
    readonly remainingMs: number;
    /** Aborts the attempt by the event `abort`. */
    readonly signal: EventEmitter;
    readonly onConnection: (bornAtMs: number) => void;
}
