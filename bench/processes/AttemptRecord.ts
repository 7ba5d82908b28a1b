import { AttemptEnd } from "./AttemptEnd.js";
import { RouteKind } from "./RouteKind.js";

/** What a caller saw of one request. Times are on the clock of the soak. */
export interface AttemptRecord {
    readonly id: string;
    /** VM whose proxy got the request. */
    readonly vm: number;
    readonly kind: RouteKind;
    readonly path: string;
    /** Key that its caller sent, or undefined if it sent none. */
    readonly apiKey?: string;
    readonly deadlineMs: number;
    /** Time at which the last byte was written. */
    sentAtMs: number;
    /** True if another request was unanswered on the connection when this one was sent. */
    readonly isBehindAnother: boolean;
    end: AttemptEnd | undefined;
    endedAtMs: number;
    status: number | undefined;
    /** True if the response has the signature of the endpoint and its whole body. */
    isGenuine: boolean;
}
