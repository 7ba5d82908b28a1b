import { BackendResult } from "./BackendResult.js";

/** An exchange with a backend server that is under way. */
export interface BackendExchange {
    readonly result: Promise<BackendResult>;
    /** Breaks the exchange off; its result says so. */
    cancel(): void;
}
