import { HeaderList } from "../model/HeaderList.js";

/** Complete response of a backend server. */
export interface BackendResponse {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
}
