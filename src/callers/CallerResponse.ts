import { BodyStream } from "../backend/BodyStream.js";
import { HeaderList } from "../model/HeaderList.js";

/** Response to a caller. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: HeaderList;
    /** Body of a complete response; empty otherwise. */
    readonly body: Buffer;
    /** Body of a long response; undefined for a complete one. */
    readonly stream?: BodyStream;
    /** Called if that body breaks off, so that the caller is left with a part of the response. */
    readonly onBroken?: (problem: string) => void;
}
