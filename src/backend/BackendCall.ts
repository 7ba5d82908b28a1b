import { HeaderList } from "../model/HeaderList.js";

/** A request as it is written to a backend server. */
export interface BackendCall {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Header fields, without those that frame the body. */
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Whether the body is framed even if it is empty. */
    readonly hasBody: boolean;
    /** Id that the answer has to echo. */
    readonly requestId: string;
}
