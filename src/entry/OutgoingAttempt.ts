import type { EventEmitter } from "node:events";
import type { Readable } from "node:stream";
import { AttemptId } from "../model/AttemptId.js";
import { GateRef } from "../model/GateRef.js";
import { ServiceClass } from "../model/ServiceClass.js";

/** An attempt to send to a gate. */
export interface OutgoingAttempt {
    readonly id: AttemptId;
    /** Lowest sequence number that the entry has not settled. */
    readonly lowWater: number;
    readonly gate: GateRef;
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    /** End-to-end header fields of the caller's request. */
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | Readable | undefined;
    readonly fingerprint: string;
    readonly customer: string;
    readonly serviceClass: ServiceClass;
    readonly isIdempotent: boolean;
    /** Whether the request carries an idempotency key. */
    readonly keyed: boolean;
    /** Time left until the deadline, in ms. */
    readonly remainingMs: number;
    /** Emits `abort` to abort the attempt. */
    readonly signal: EventEmitter;
    /** Called with the time at which the connection in use was opened, in ms. */
    readonly onConnection: (openedAtMs: number) => void;
}
