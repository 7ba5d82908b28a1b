import { collectBody } from "../../http/collectBody/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

/** Longest body that is buffered, in bytes. */
const REPLAYABLE_BODY_BYTES = 256 * 1_024;

/** Buffers a short body, so that the request is replayable; a long or chunked body is streamed and can be sent only once. */
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
