import { HeaderList } from "../model/HeaderList.js";
import { BodyStream } from "./BodyStream.js";

/** Response of a backend server: complete, or with a body that is still being received. */
export interface BackendResponse {
    readonly status: number;
    readonly headers: HeaderList;
    /** Body of a complete response; empty otherwise. */
    readonly body: Buffer;
    /** Body of a long response; undefined for a complete one. */
    readonly stream?: BodyStream;
}
