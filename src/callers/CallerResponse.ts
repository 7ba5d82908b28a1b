import { HeaderList } from "../model/HeaderList.js";

/** Response to a caller. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
}
