import type { EventEmitter } from "node:events";
import type { Readable } from "node:stream";

/** Request to send over a pooled connection. */
export interface PooledRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | Readable | undefined;
    /** True if the connection must be new or have received a response recently. */
    readonly needsLiveConnection: boolean;
    /** Emits `abort` to abort the request. */
    readonly signal: EventEmitter;
    /** Called with the time at which the connection was opened, as soon as one is selected. */
    readonly onConnection?: (openedAtMs: number) => void;
}
