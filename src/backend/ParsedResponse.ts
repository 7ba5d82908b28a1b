import { BackendResponse } from "./BackendResponse.js";

/** Complete response, and whether its connection can be reused. */
export interface ParsedResponse extends BackendResponse {
    readonly keepsAlive: boolean;
}
