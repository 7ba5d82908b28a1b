import { HeaderList } from "../model/HeaderList.js";

/** An answer to a caller. */
export interface CallerAnswer {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
}
