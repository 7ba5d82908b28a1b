import type { EventEmitter } from "node:events";
import type { Readable } from "node:stream";

/** Request to send over a pooled connection. */
export interface PooledRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | Readable | undefined;
    /** Whether the connection must be new or have answered within the last seconds. */
    readonly needsProof: boolean;
    /** Aborts the request by the event `abort`. */
    readonly signal: EventEmitter;
    /** Told when the connection was opened, as soon as one is chosen. */
    readonly onConnection?: (bornAtMs: number) => void;
}
