import { RequestContext } from "./RequestContext.js";

/** Filter of the request chain. It either answers a request itself or passes it on to the rest of the chain. */
export interface RequestFilter {
    /** Handles a request; `next` runs the rest of the chain. */
    apply(context: RequestContext, next: () => Promise<void>): Promise<void>;
}
