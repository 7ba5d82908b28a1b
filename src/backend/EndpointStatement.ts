import { StatedLimit } from "../decisions/limits/StatedLimit.js";

/** What a backend server states about itself in the header fields of a response. */
export interface EndpointStatement {
    readonly limit: StatedLimit;
    /** True if the backend server is about to leave and must get no new requests. */
    readonly isLeaving: boolean;
}
