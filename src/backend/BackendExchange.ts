import { BackendResult } from "./BackendResult.js";

/** Request to a backend server and its pending result. */
export interface BackendExchange {
    readonly result: Promise<BackendResult>;
    /** Aborts the exchange. The result is then that of a failed connection. */
    cancel(): void;
}
