import { HeaderList } from "../model/HeaderList.js";

/** A request of a caller, read whole. */
export interface CallerRequest {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly host: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly hasBody: boolean;
    readonly requestId: string;
    readonly patienceMs: number | undefined;
    readonly arrivedAtMs: number;
}
