import { HeaderList } from "../model/HeaderList.js";

/** Request as it is sent to a backend server. */
export interface BackendRequest {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Header fields except those that frame the body. */
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** True if the request has a body, which may be empty. */
    readonly hasBody: boolean;
    /** Id that the response has to echo; empty if the caller gave none. */
    readonly requestId: string;
    /** True if a long response may be returned while its body is being received. */
    readonly canStream?: boolean;
    /** Maximum size of the body of a response that is returned complete, in bytes, if it is smaller than that of all responses. */
    readonly maxBodyBytes?: number;
}
