import { HeaderList } from "../model/HeaderList.js";

/** Request of a caller with its complete body. */
export interface CallerRequest {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly host: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly hasBody: boolean;
    readonly requestId: string;
    /** Key of the caller's organisation, or undefined if it has none. */
    readonly apiKey: string | undefined;
    /** Time that the caller waits, or undefined if it is not stated. */
    readonly patienceMs: number | undefined;
    readonly arrivedAtMs: number;
}
