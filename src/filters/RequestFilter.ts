import { RequestContext } from "./RequestContext.js";

/** One filter of the request chain. It answers the request itself, or hands it to the rest of the chain. */
export interface RequestFilter {
    /** Handles a request; `next` runs the rest of the chain. */
    apply(context: RequestContext, next: () => Promise<void>): Promise<void>;
}
