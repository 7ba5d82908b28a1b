import { ResponseDialect } from "../backend/ResponseDialect.js";
import { HeaderList } from "../model/HeaderList.js";
import { WorkOffer } from "../tunnel/WorkOffer.js";

/** Conventions for requests to backend servers and their responses. */
export interface EndpointDialect extends ResponseDialect {
    /** Returns the header fields with which a request is sent to its endpoint. */
    requestHeaders(offer: WorkOffer, remainingMs: number): HeaderList;
    /** Returns whether the meaning of a header field of a response is known, by its name in lower case. */
    isKnownResponseHeader(name: string): boolean;
}
