import { collectBody } from "../../http/collectBody/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

const REPLAYABLE_BODY_BYTES = 256 * 1_024;

/** Reads a body of moderate length into memory, so that the request can be sent again; others are streamed once. */
export class BodyFilter implements RequestFilter {
    private constructor() {}

    /** Creates the filter. */
    static create(): BodyFilter {
        return new BodyFilter();
    }

    async apply(context: RequestContext, next: () => Promise<void>): Promise<void> {
        const { request } = context;
        const lengthBytes = Number(request.headers[HeaderName.ContentLength] ?? 0);
        const isChunked = request.headers[HeaderName.TransferEncoding] !== undefined;
        context.isReplayable = !isChunked && lengthBytes <= REPLAYABLE_BODY_BYTES;
        if (!context.isReplayable) {
            context.body = request;
        }
        else if (lengthBytes > 0) {
            context.body = await collectBody(request, REPLAYABLE_BODY_BYTES);
        }
        await next();
    }
}
