import { HeaderList } from "../model/HeaderList.js";

/** A whole answer of a backend server. */
export interface BackendAnswer {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
}
